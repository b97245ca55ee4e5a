package org.wagtailcart.gateway.share;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.policy.share.DemandMeter;
import org.wagtailcart.policy.share.QuotaAccount;
import org.wagtailcart.policy.share.QuotaLimiter;
import org.wagtailcart.policy.share.ServiceCapacity;
import org.wagtailcart.policy.share.ShareLimiter;
import org.wagtailcart.policy.share.ShareRequest;
import org.wagtailcart.policy.share.WorkspaceDemand;
import org.wagtailcart.policy.share.WorkspaceShare;
import org.wagtailcart.workspace.WorkspaceTable;

/**
 * Demand of the workspaces at this gateway and the limits on those above their share. Requests of callers without a
 * workspace are neither measured nor limited. Thread safe.
 */
public final class WorkspaceLimits {
    private final DemandMeter meter = new DemandMeter();
    private final ShareLimiter limiter;
    private final QuotaLimiter quotaLimiter;
    private final MillisClock clock;
    private Map<String, Integer> weights = Map.of();
    private long refusals;
    private long quotaRefusals;
    private volatile boolean hasQuotas;

    /** Creates limits of a gateway that has no shares yet. */
    public WorkspaceLimits(String processId, MillisClock clock) {
        this.limiter = new ShareLimiter(processId);
        this.quotaLimiter = new QuotaLimiter(processId);
        this.clock = clock;
    }

    /** Installs the weights and quotas of the workspaces of a routing table. */
    public synchronized void install(@Nullable WorkspaceTable workspaces) {
        weights = workspaces == null ? Map.of() : workspaces.weightsByName();
        limiter.weights(weights);
        quotaLimiter.quotas(workspaces == null ? Map.of() : workspaces.quotasByName(), clock.nowMillis());
        hasQuotas = quotaLimiter.quotaCount() > 0;
    }

    /**
     * Admits a request if the quota of its workspace is not used up.
     *
     * @param gateways number of gateways, at least 1
     * @return empty if it is admitted, otherwise the time until another request can be
     */
    public OptionalLong tryAdmit(String workspace, int gateways, long nowMillis) {
        // Without quotas a request takes no further lock.
        return hasQuotas ? tryAdmitWithinQuota(workspace, gateways, nowMillis) : OptionalLong.empty();
    }

    private synchronized OptionalLong tryAdmitWithinQuota(String workspace, int gateways, long nowMillis) {
        OptionalLong waitMillis = quotaLimiter.tryAdmit(workspace, gateways, nowMillis);
        quotaRefusals += waitMillis.isPresent() ? 1 : 0;
        return waitMillis;
    }

    /** Takes back an admission whose request was then refused as not run. */
    public void withdraw(String workspace, long admittedAtMillis) {
        if (hasQuotas) {
            synchronized (this) {
                quotaLimiter.withdraw(workspace, admittedAtMillis, clock.nowMillis());
            }
        }
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

    /** Returns the demand of the last second with that of workspaces with a quota, for the next report. */
    public synchronized List<WorkspaceDemand> report() {
        List<WorkspaceDemand> demand = demand();
        return hasQuotas
                ? Stream.concat(demand.stream(), quotaLimiter.demand(clock.nowMillis()).stream())
                        .toList()
                : demand;
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
        Map<Boolean, List<WorkspaceShare>> byQuota = shares.stream()
                .collect(Collectors.partitioningBy(share -> share.service().equals(QuotaAccount.SERVICE)));
        limiter.applyShares(contended, byQuota.getOrDefault(false, List.of()), receivedAtMillis);
        // A leader of a version without quotas takes the entries of demand for those of a service.
        if (contended.stream().noneMatch(service -> service.service().equals(QuotaAccount.SERVICE))) {
            quotaLimiter.applyAccount(byQuota.getOrDefault(true, List.of()), receivedAtMillis);
        }
    }

    /** Returns the states of the workspaces with a quota that had requests in the last second. */
    public synchronized List<QuotaState> quotaStates(int gateways) {
        long nowMillis = clock.nowMillis();
        return quotaLimiter.demand(nowMillis).stream()
                .map(demand -> new QuotaState(
                        demand.workspace(),
                        quotaLimiter.quota(demand.workspace()),
                        quotaLimiter.allowedPerSecond(demand.workspace(), gateways, nowMillis),
                        demand.askedCostPerSecond(),
                        demand.refusedPerSecond()))
                .toList();
    }

    /** Returns the number of workspaces with a quota. */
    public synchronized int quotaCount() {
        return quotaLimiter.quotaCount();
    }

    /** Returns the number of requests that were refused because the quota of their workspace was used up. */
    public synchronized long quotaRefusals() {
        return quotaRefusals;
    }

    /** Returns the weight of a workspace. */
    public synchronized int weight(String workspace) {
        return weights.getOrDefault(workspace, 1);
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
