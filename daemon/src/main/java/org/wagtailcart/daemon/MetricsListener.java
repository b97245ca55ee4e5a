package org.wagtailcart.daemon;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.Metered;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.wagtailcart.common.Address;

/** HTTP listener without authentication, for hosts of the system: metrics as lines of text and the state as JSON. */
final class MetricsListener implements AutoCloseable {
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final ObjectMapper mapper = new ObjectMapper();
    private final MetricRegistry registry;
    private final Undertow server;

    MetricsListener(Address address, MetricRegistry registry, Supplier<ProcessDump> dump) {
        this.registry = registry;
        this.server = Undertow.builder()
                .addHttpListener(address.port(), address.ip())
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(Handlers.path()
                        .addExactPath("/metrics", exchange -> respond(exchange, "text/plain", metricsText()))
                        .addExactPath("/dump", exchange -> respond(exchange, "application/json", toJson(dump.get()))))
                .build();
        server.start();
    }

    @Override
    public void close() {
        server.stop();
    }

    /** Returns all metrics as text; quantiles of timers are in milliseconds. */
    String metricsText() {
        StringBuilder text = new StringBuilder();
        registry.getGauges().forEach((name, gauge) -> appendLine(text, name, "", String.valueOf(gauge.getValue())));
        registry.getCounters()
                .forEach((name, counter) -> appendLine(text, name, "", Long.toString(counter.getCount())));
        registry.getMeters().forEach((name, meter) -> appendCount(text, name, meter));
        registry.getTimers().forEach((name, timer) -> appendTimer(text, name, timer));
        registry.getHistograms().forEach((name, histogram) -> appendHistogram(text, name, histogram));
        return text.toString();
    }

    private static void appendTimer(StringBuilder text, String name, Timer timer) {
        appendCount(text, name, timer);
        appendQuantiles(text, name, timer, NANOS_PER_MILLI);
    }

    private static void appendHistogram(StringBuilder text, String name, Histogram histogram) {
        appendLine(text, name, "_count", Long.toString(histogram.getCount()));
        appendQuantiles(text, name, histogram, 1);
    }

    private static void appendCount(StringBuilder text, String name, Metered metered) {
        appendLine(text, name, "_count", Long.toString(metered.getCount()));
    }

    private static void appendQuantiles(StringBuilder text, String name, Sampling sampling, double divisor) {
        Snapshot snapshot = sampling.getSnapshot();
        Map.of("0.5", snapshot.getMedian(), "0.95", snapshot.get95thPercentile(), "0.99", snapshot.get99thPercentile())
                .forEach((quantile, value) ->
                        appendLine(text, name, "{quantile=\"" + quantile + "\"}", Double.toString(value / divisor)));
    }

    private static void appendLine(StringBuilder text, String name, String suffix, String value) {
        text.append(name.replace('.', '_').replace('-', '_'))
                .append(suffix)
                .append(' ')
                .append(value)
                .append('\n');
    }

    private String toJson(Record state) {
        try {
            return mapper.writeValueAsString(state);
        } catch (JsonProcessingException e) {
            return Optional.ofNullable(e.getOriginalMessage()).orElse("state cannot be serialized to JSON");
        }
    }

    private static void respond(HttpServerExchange exchange, String type, String body) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        exchange.getResponseSender().send(body);
    }
}
