package org.wagtailcart.control.watch;

import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.control.client.FleetReport;
import org.wagtailcart.control.client.GatewayReport;
import org.wagtailcart.control.usage.UsageObserver;
import org.wagtailcart.policy.placement.EngineRate;
import org.wagtailcart.policy.share.ServiceCapacity;
import org.wagtailcart.policy.share.WorkspaceDemand;
import org.wagtailcart.policy.share.WorkspaceShare;
import org.wagtailcart.workspace.WorkspaceTable;

/** Collects the reports of gateways and derives from them what all gateways are told. Not thread safe. */
final class FleetReports {
    private final EngineRateLog engineRates = new EngineRateLog();
    private final DemandTracker demand = new DemandTracker();
    private final UsageObserver usage;

    FleetReports(UsageObserver usage) {
        this.usage = usage;
    }

    /** Installs the weights and quotas of the workspaces of a routing table. */
    void install(@Nullable WorkspaceTable workspaces) {
        demand.install(workspaces);
    }

    /** Records the report of a gateway. */
    void record(String processId, GatewayReport report, long nowMillis) {
        usage.record(processId, report.wallClockMillis(), report.usage(), nowMillis);
        engineRates.record(processId, report.engineRates(), report.engineRatesVersion(), nowMillis);
        demand.record(processId, report.demand(), nowMillis);
    }

    /** Returns the learned prefill rates of engines. */
    List<EngineRate> engineRates() {
        return engineRates.rates();
    }

    /** Returns the demand that gateways have reported. */
    List<WorkspaceDemand> demand(long nowMillis) {
        return demand.demand(nowMillis);
    }

    /**
     * Returns the reply to a gateway.
     *
     * @param gateways number of gateways
     */
    FleetReport replyTo(String processId, int gateways, long nowMillis) {
        EngineRateLog.Page rates = engineRates.pageFor(processId);
        List<ServiceCapacity> contended = contendedIfDue(processId, nowMillis);
        List<WorkspaceShare> shares = contended == null ? List.of() : shares(processId, gateways, nowMillis);
        return new FleetReport(
                usage.trueTimeMillis(nowMillis).orElse(0),
                usage.acknowledged(processId),
                rates.rates(),
                shares,
                rates.version(),
                contended);
    }

    private List<WorkspaceShare> shares(String processId, int gateways, long nowMillis) {
        return Stream.concat(demand.shares(nowMillis).stream(), demand.quotaParts(processId, gateways).stream())
                .toList();
    }

    /** Returns the contended services, null when they are unknown or were sent to the gateway shortly before. */
    private @Nullable List<ServiceCapacity> contendedIfDue(String processId, long nowMillis) {
        List<ServiceCapacity> contended = demand.contended(nowMillis);
        return contended != null && demand.sendDue(processId, nowMillis) ? contended : null;
    }
}
