package org.wagtailcart.daemon;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Snapshot of the metrics of a process for operators.
 *
 * @param counts values of counters, and event counts of meters and timers
 * @param perSecond one-minute rates of meters and timers
 * @param gauges values of gauges
 */
record MetricsDump(Map<String, Long> counts, Map<String, Double> perSecond, Map<String, String> gauges) {
    static MetricsDump of(MetricRegistry registry) {
        TreeMap<String, Long> counts = new TreeMap<>();
        registry.getCounters().forEach((name, counter) -> counts.put(name, counter.getCount()));
        Stream.of(registry.getMeters(), registry.getTimers())
                .flatMap(metrics -> metrics.entrySet().stream())
                .forEach(metric -> counts.put(metric.getKey(), metric.getValue().getCount()));
        Map<String, Double> rates = Stream.of(registry.getMeters(), registry.getTimers())
                .flatMap(metrics -> metrics.entrySet().stream())
                .collect(Collectors.toMap(
                        Map.Entry::getKey, metric -> metric.getValue().getOneMinuteRate(), Double::sum, TreeMap::new));
        TreeMap<String, String> gauges = new TreeMap<>();
        registry.getGauges().forEach((name, gauge) -> gauges.put(name, String.valueOf(gauge.getValue())));
        return new MetricsDump(counts, rates, gauges);
    }
}
