package org.wagtailcart.gateway.share;

import java.util.List;
import java.util.OptionalDouble;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.policy.share.DemandMeter;
import org.wagtailcart.policy.share.ServiceCapacity;
import org.wagtailcart.policy.share.ShareLimiter;
import org.wagtailcart.policy.share.ShareRequest;
import org.wagtailcart.policy.share.WorkspaceDemand;
import org.wagtailcart.policy.share.WorkspaceShare;

/**
 * Demand of the workspaces at this gateway and the limits on those above their share. Requests of callers without a
 * workspace are neither measured nor limited. Thread safe.
 */
public final class WorkspaceLimits {
    private final DemandMeter meter = new DemandMeter();
    private final ShareLimiter limiter;
    private final MillisClock clock;
    private long refusals;

    /** Creates limits of a gateway that has no shares yet. */
    public WorkspaceLimits(String processId, MillisClock clock) {
        this.limiter = new ShareLimiter(processId);
        this.clock = clock;
    }

    /**
     * Decides whether a request may be sent, and counts it.
     *
     * @param gateways number of gateways, at least 1
     */
    public synchronized ShareLimiter.Decision decide(ShareRequest request, int gateways) {
        if (!request.hasWorkspace()) {
            return ShareLimiter.Decision.ADMIT;
        }
        long nowMillis = clock.nowMillis();
        // A gateway that is cut off polls less often than the local calculator needs observations.
        limiter.observe(() -> meter.demand(nowMillis), nowMillis);
        ShareLimiter.Decision decision = limiter.decide(request, gateways, nowMillis);
        if (decision == ShareLimiter.Decision.REFUSE) {
            refusals++;
            meter.recordRefused(request.service(), request.workspace(), request.cost(), nowMillis);
        } else {
            meter.recordAdmitted(request.service(), request.workspace(), request.cost(), request.late(), nowMillis);
        }
        return decision;
    }

    /** Counts a request that is refused because it would wait beyond its deadline. */
    public synchronized void recordRefused(ShareRequest request) {
        if (request.hasWorkspace()) {
            meter.recordRefused(request.service(), request.workspace(), request.cost(), clock.nowMillis());
        }
    }

    /** Counts a request that was admitted and then refused by all upstreams. */
    public synchronized void recordRefusedByUpstreams(ShareRequest request) {
        if (request.hasWorkspace()) {
            meter.recordRefusedByUpstreams(request.service(), request.workspace(), request.cost(), clock.nowMillis());
        }
    }

    /** Returns the demand of the last second, for the next report and for the shares at this gateway alone. */
    public synchronized List<WorkspaceDemand> demand() {
        long nowMillis = clock.nowMillis();
        List<WorkspaceDemand> demand = meter.demand(nowMillis);
        limiter.observe(() -> demand, nowMillis);
        return demand;
    }

    /** Applies the shares that the leader of the control group sent. */
    public synchronized void applyShares(
            List<ServiceCapacity> contended, List<WorkspaceShare> shares, long receivedAtMillis) {
        limiter.applyShares(contended, shares, receivedAtMillis);
    }

    /** Returns the number of requests that were refused because their workspace was above its share. */
    public synchronized long refusals() {
        return refusals;
    }

    /** Returns whether the shares of the leader are valid; otherwise this gateway limits by its own demand. */
    public synchronized boolean hasShares() {
        return limiter.hasShares(clock.nowMillis());
    }

    /** Returns the fraction of its requests that a workspace above its share is admitted with, empty for others. */
    public synchronized OptionalDouble admitFraction(String service, String workspace, int gateways) {
        return limiter.admitFraction(service, workspace, gateways, clock.nowMillis());
    }
}
