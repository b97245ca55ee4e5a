package org.wagtailcart.control.watch;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.control.client.FleetReport;
import org.wagtailcart.control.client.GatewayReport;
import org.wagtailcart.policy.share.ServiceCapacity;

/** Collects the reports of gateways and derives from them what all gateways are told. Not thread safe. */
final class FleetReports {
    private final DemandTracker demand = new DemandTracker();

    /** Records the report of a gateway. */
    void record(String processId, GatewayReport report, long nowMillis) {
        demand.record(processId, report.demand(), nowMillis);
    }

    /** Returns the reply to a gateway. */
    FleetReport replyTo(String processId, long nowMillis) {
        @Nullable List<ServiceCapacity> contended = demand.contended(nowMillis);
        return contended != null && demand.sendDue(processId, nowMillis)
                ? new FleetReport(0, 0, List.of(), demand.shares(nowMillis), contended)
                : new FleetReport(0, 0, List.of(), List.of(), null);
    }
}
