package org.wagtailcart.entry.call;

import com.codahale.metrics.MetricRegistry;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.SettingNames;

/** Counters for each stage and outcome, named {@code entry.<stage>.<result code>}; result code 0 is success. */
public final class StageCounters {
    private final MetricRegistry registry;

    /** Creates the counters in a registry. */
    public StageCounters(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Counts the outcome of a stage. */
    public void count(Stage stage, ResultCode outcome) {
        registry.counter("entry." + SettingNames.of(stage) + "." + outcome.number())
                .inc();
    }

    /** Counts an event that is not the outcome of a stage. */
    public void count(String event) {
        registry.counter("entry." + event).inc();
    }
}
