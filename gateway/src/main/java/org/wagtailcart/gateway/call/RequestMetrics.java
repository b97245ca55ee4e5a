package org.wagtailcart.gateway.call;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.gateway.stream.StreamResumption;
import org.wagtailcart.workspace.KeyVerdict;

/** Metrics of ended requests: a counter per result code and timers of the total time and the time to first byte. */
public final class RequestMetrics {
    private final MetricRegistry registry;
    private final Timer total;
    private final Timer first;

    /** Creates the metrics in a registry. */
    public RequestMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.total = registry.timer("gateway.request");
        this.first = registry.timer("gateway.first-byte");
    }

    void recordEnded(ResultCode code, long totalMillis, long firstMillis) {
        registry.counter("gateway.ended." + SettingNames.of(code)).inc();
        total.update(totalMillis, TimeUnit.MILLISECONDS);
        if (firstMillis >= 0) {
            first.update(firstMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Counts a request that was refused for its API key, by the reason. */
    public void recordKeyRefused(KeyVerdict verdict) {
        registry.counter("gateway.key-refused." + SettingNames.of(verdict)).inc();
    }

    void recordAttemptFailure(ResultCode code) {
        registry.counter("gateway.attempt." + SettingNames.of(code)).inc();
    }

    /** Counts a stream that its caller resumes, by what becomes of it. */
    void recordResumption(StreamResumption.Outcome outcome) {
        registry.counter("gateway.stream.resumed." + SettingNames.of(outcome)).inc();
    }

    /** Counts a response of an upstream whose events are not the next ones of the stream. */
    void recordDisorderedRun() {
        registry.counter("gateway.stream.disordered-runs").inc();
    }
}
