package org.wagtailcart.control.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/** Operator endpoint for the metrics of this process. */
final class MetricsApi {
    private final MetricRegistry registry;

    MetricsApi(MetricRegistry registry) {
        this.registry = registry;
    }

    Record metrics(OperatorRequest request) {
        return new Bodies.Metrics(registry.getMetrics().entrySet().stream()
                .map(entry -> body(entry.getKey(), entry.getValue()))
                .toList());
    }

    private static Bodies.Metric body(String name, Metric metric) {
        if (metric instanceof Counter counter) {
            return new Bodies.Metric(name, "counter", counter.getCount(), 0, "");
        }
        if (metric instanceof Timer timer) {
            String p95Nanos = String.valueOf(timer.getSnapshot().get95thPercentile());
            return new Bodies.Metric(name, "timer", timer.getCount(), timer.getOneMinuteRate(), p95Nanos);
        }
        if (metric instanceof Meter meter) {
            return new Bodies.Metric(name, "meter", meter.getCount(), meter.getOneMinuteRate(), "");
        }
        if (metric instanceof Histogram histogram) {
            String p95 = String.valueOf(histogram.getSnapshot().get95thPercentile());
            return new Bodies.Metric(name, "histogram", histogram.getCount(), 0, p95);
        }
        String value = metric instanceof Gauge<?> gauge ? String.valueOf(gauge.getValue()) : "";
        return new Bodies.Metric(name, "gauge", 0, 0, value);
    }
}
