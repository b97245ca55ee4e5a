package org.wagtailcart.gateway.call;

import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.policy.placement.RequestRank;
import org.wagtailcart.policy.share.ShareLimiter;
import org.wagtailcart.policy.share.ShareRequest;

/**
 * One call's part in the share of its workspace. A call is decided on and counted once, before anything is sent; later
 * attempts belong to the same request. Not thread safe.
 */
final class CallShare {
    private static final long NOT_ADMITTED = Long.MIN_VALUE;

    private final GatewayContext context;
    private final InboundRequest request;
    /** The request as it was counted, null before that. */
    private @Nullable ShareRequest counted;

    private boolean aboveShare;
    /** Time at which the quota admitted the request, {@link #NOT_ADMITTED} before. It may end on another thread. */
    private volatile long admittedAtMillis = NOT_ADMITTED;

    CallShare(GatewayContext context, InboundRequest request) {
        this.context = context;
        this.request = request;
    }

    /**
     * Counts the request in the quota of its workspace.
     *
     * @return empty if it is admitted, otherwise the time until another request can be
     */
    OptionalLong tryAdmitWithinQuota() {
        long nowMillis = context.clock().nowMillis();
        OptionalLong waitMillis = context.workspaceLimits()
                .tryAdmit(request.workspace(), context.routeWatcher().gatewayCount(), nowMillis);
        if (waitMillis.isEmpty()) {
            admittedAtMillis = nowMillis;
        }
        return waitMillis;
    }

    /** Takes the request, which did not run, out of the quota. */
    void withdrawFromQuota() {
        if (admittedAtMillis != NOT_ADMITTED) {
            context.workspaceLimits().withdraw(request.workspace(), admittedAtMillis);
        }
    }

    /** Returns whether the share of the workspace covers the request. */
    boolean covers(double cost, ShareRequest.Estimate estimate) {
        if (counted != null) {
            return true;
        }
        ShareRequest asked = shareRequest(cost, estimate);
        counted = asked;
        ShareLimiter.Decision decision =
                context.workspaceLimits().decide(asked, context.routeWatcher().gatewayCount());
        aboveShare = decision == ShareLimiter.Decision.ADMIT_WITH_LOWER_RANK;
        return decision != ShareLimiter.Decision.REFUSE;
    }

    /** Counts a refusal for the estimated time. Without a wait, it says nothing about the load of the service. */
    void recordRefused(double cost, ShareRequest.Estimate estimate) {
        if (counted != null) {
            recordRefusedByUpstreams();
        } else if (estimate.waitMillis() > 0) {
            context.workspaceLimits().recordRefused(shareRequest(cost, estimate));
        }
    }

    /** Counts that the request, which was admitted, is refused because no upstream accepted it. */
    void recordRefusedByUpstreams() {
        if (counted != null) {
            context.workspaceLimits().recordRefusedByUpstreams(counted);
        }
    }

    /** Returns the rank at the upstream, one step lower for a workspace above its share. */
    int rank(int rank) {
        return aboveShare ? RequestRank.lower(rank) : rank;
    }

    private ShareRequest shareRequest(double cost, ShareRequest.Estimate estimate) {
        long targetMillis = request.route().targetLatencyMillis();
        long onTimeUntilMillis = targetMillis <= 0 ? request.deadlineMillis() : request.arrivedMillis() + targetMillis;
        return ShareRequest.of(
                request.service(),
                request.workspace(),
                cost,
                estimate,
                onTimeUntilMillis - context.clock().nowMillis(),
                context.routeWatcher().routes().shortestTargetMillis(request.service()));
    }
}
