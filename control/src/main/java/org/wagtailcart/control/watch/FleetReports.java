package org.wagtailcart.control.watch;

import java.util.List;
import org.wagtailcart.control.client.FleetReport;
import org.wagtailcart.control.client.GatewayReport;
import org.wagtailcart.policy.placement.EngineRate;

/** Collects the reports of gateways and derives from them what all gateways are told. Not thread safe. */
final class FleetReports {
    private final EngineRateLog engineRates = new EngineRateLog();

    /** Records the report of a gateway. */
    void record(String processId, GatewayReport report, long nowMillis) {
        engineRates.record(processId, report.engineRates(), report.engineRatesVersion(), nowMillis);
    }

    /** Returns the learned prefill rates of engines. */
    List<EngineRate> engineRates() {
        return engineRates.rates();
    }

    /** Returns the reply to a gateway. */
    FleetReport replyTo(String processId, long nowMillis) {
        EngineRateLog.Page rates = engineRates.pageFor(processId);
        return new FleetReport(0, 0, rates.rates(), List.of(), rates.version());
    }
}
