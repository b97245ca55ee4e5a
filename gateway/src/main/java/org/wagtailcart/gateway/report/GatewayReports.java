package org.wagtailcart.gateway.report;

import java.util.List;
import org.wagtailcart.control.client.FleetReport;
import org.wagtailcart.control.client.GatewayReport;
import org.wagtailcart.gateway.list.UpstreamRegistry;
import org.wagtailcart.gateway.share.WorkspaceLimits;
import org.wagtailcart.policy.share.ServiceCapacity;
import org.wagtailcart.routes.RouteTable;

/** Composes the report of this gateway for each poll, and applies what the control group replies. Thread safe. */
public final class GatewayReports {
    private final UpstreamRegistry upstreams;
    private final UsageReports usage;
    private final WorkspaceLimits workspaceLimits;

    /**
     * Creates the reports of a gateway.
     *
     * @param upstreams registry that learns the prefill rates of engines
     * @param usage counts of requests that began to run
     * @param workspaceLimits demand of workspaces and their shares
     */
    public GatewayReports(UpstreamRegistry upstreams, UsageReports usage, WorkspaceLimits workspaceLimits) {
        this.upstreams = upstreams;
        this.usage = usage;
        this.workspaceLimits = workspaceLimits;
    }

    /** Installs the limits on workspaces of a routing table. */
    public void install(RouteTable table) {
        workspaceLimits.install(table.workspaces());
    }

    /** Returns the report for the next poll. */
    public GatewayReport collect() {
        return new GatewayReport(
                System.currentTimeMillis(),
                usage.nextBatch().orElse(null),
                upstreams.drainEngineRates(),
                workspaceLimits.report(),
                upstreams.engineRatesVersion());
    }

    /**
     * Applies the reply to a poll.
     *
     * @param receivedAtMillis monotonic time at which the reply arrived
     */
    public void apply(FleetReport fleet, long receivedAtMillis) {
        usage.applyReply(fleet.trueTimeMillis(), fleet.usageSequence(), receivedAtMillis);
        upstreams.applyEngineRates(fleet.engineRates(), fleet.engineRatesVersion());
        List<ServiceCapacity> contended = fleet.contended();
        if (contended != null) {
            workspaceLimits.applyShares(contended, fleet.shares(), receivedAtMillis);
        }
    }
}
