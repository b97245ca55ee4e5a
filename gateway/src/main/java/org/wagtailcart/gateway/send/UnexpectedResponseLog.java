package org.wagtailcart.gateway.send;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Arrays;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.SettingNames;

/** Logs and counts bytes that upstreams sent although no request waited for them, and suspects these upstreams. */
public final class UnexpectedResponseLog {
    private static final Logger LOG = System.getLogger(UnexpectedResponseLog.class.getName());

    private final MetricRegistry registry;
    private final SuspectUpstreams suspects;

    /** Creates a log with a counter for each kind in the registry. */
    public UnexpectedResponseLog(MetricRegistry registry, SuspectUpstreams suspects) {
        this.registry = registry;
        this.suspects = suspects;
        registry.registerGauge("gateway.upstreams-suspect", suspects::count);
        Arrays.stream(UnexpectedResponse.values()).forEach(this::counter);
    }

    private Counter counter(UnexpectedResponse kind) {
        return registry.counter("gateway.unexpected." + SettingNames.of(kind));
    }

    /**
     * Records an unexpected response.
     *
     * @param requestId id of the request that waits for its response, or that would have been sent
     */
    public void record(
            UnexpectedResponse kind, String requestId, Address upstream, ConnectionUse connection, String reason) {
        counter(kind).inc();
        suspects.add(upstream);
        LogEventKind.UNEXPECTED_RESPONSE.log(
                LOG,
                Level.WARNING,
                requestId,
                upstream,
                SettingNames.of(kind),
                connection.connectionNumber(),
                connection.earlierRequests(),
                reason);
    }
}
