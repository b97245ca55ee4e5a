package org.wagtailcart.gateway.report;

import java.util.List;
import org.wagtailcart.control.client.FleetReport;
import org.wagtailcart.control.client.GatewayReport;
import org.wagtailcart.gateway.share.WorkspaceLimits;
import org.wagtailcart.policy.share.ServiceCapacity;

/** Composes the report of this gateway for each poll, and applies what the control group replies. Thread safe. */
public final class GatewayReports {
    private final WorkspaceLimits workspaceLimits;

    /** Creates the reports of a gateway. */
    public GatewayReports(WorkspaceLimits workspaceLimits) {
        this.workspaceLimits = workspaceLimits;
    }

    /** Returns the report for the next poll. */
    public GatewayReport collect() {
        return new GatewayReport(System.currentTimeMillis(), null, List.of(), workspaceLimits.demand());
    }

    /**
     * Applies the reply to a poll.
     *
     * @param receivedAtMillis monotonic time at which the reply arrived
     */
    public void apply(FleetReport fleet, long receivedAtMillis) {
        List<ServiceCapacity> contended = fleet.contended();
        if (contended != null) {
            workspaceLimits.applyShares(contended, fleet.shares(), receivedAtMillis);
        }
    }
}
