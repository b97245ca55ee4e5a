package org.wagtailcart.gateway;

import java.util.Comparator;
import java.util.List;
import org.wagtailcart.gateway.call.GatewayContext;
import org.wagtailcart.gateway.share.QuotaState;
import org.wagtailcart.gateway.share.WorkspaceState;
import org.wagtailcart.policy.share.WorkspaceDemand;

/** Collects the states of the workspaces for the dump and the metrics of a gateway. */
final class WorkspaceStates {
    /** Limit on the workspaces in a dump; those that ask for the most come first. */
    private static final int MAX_WORKSPACES = 100;

    private WorkspaceStates() {}

    static List<WorkspaceState> of(GatewayContext context) {
        return context.workspaceLimits().demand().stream()
                .sorted(Comparator.comparing(WorkspaceDemand::askedCostPerSecond)
                        .reversed())
                .limit(MAX_WORKSPACES)
                .map(demand -> state(context, demand))
                .toList();
    }

    private static WorkspaceState state(GatewayContext context, WorkspaceDemand demand) {
        String service = demand.service();
        String workspace = demand.workspace();
        return new WorkspaceState(
                service,
                workspace,
                demand.askedCostPerSecond(),
                context.openCalls().count(service, workspace, true),
                context.openCalls().count(service, workspace, false),
                demand.refusedPerSecond(),
                context.workspaceLimits()
                        .admitFraction(
                                service, workspace, context.routeWatcher().gatewayCount())
                        .orElse(1),
                context.workspaceLimits().weight(workspace));
    }

    static List<QuotaState> quotasOf(GatewayContext context) {
        return context.workspaceLimits().quotaStates(context.routeWatcher().gatewayCount()).stream()
                .sorted(Comparator.comparing(QuotaState::refusedPerSecond)
                        .thenComparing(QuotaState::askedPerSecond)
                        .reversed())
                .limit(MAX_WORKSPACES)
                .toList();
    }

    static long countLimited(GatewayContext context) {
        return of(context).stream().filter(state -> state.admitFraction() < 1).count();
    }
}
