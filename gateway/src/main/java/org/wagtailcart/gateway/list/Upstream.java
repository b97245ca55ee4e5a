package org.wagtailcart.gateway.list;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wagtailcart.common.Address;
import org.wagtailcart.control.client.OutstandingWork;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.policy.health.HealthOptions;
import org.wagtailcart.policy.health.HealthPolicy;
import org.wagtailcart.policy.health.HealthTracker;
import org.wagtailcart.policy.placement.PrefillSlowdown;
import org.wagtailcart.policy.placement.PrefixCacheEstimate;
import org.wagtailcart.policy.placement.RecentLatency;
import org.wagtailcart.policy.placement.StreamStartDelay;

/**
 * State of one upstream: its host list entry, health, load and prefix cache estimate. Guarded by its
 * {@link UpstreamRegistry}.
 */
public final class Upstream {
    /** Weight of a new sample in the exponential moving average of the latency. */
    private static final double LATENCY_WEIGHT = 0.2;

    private static final HealthOptions CONTACT_HEALTH = new HealthOptions(3, 10, 0.3, 1_500, 6_000);
    /**
     * Thresholds for error responses. They are higher than those for missing responses, because a working upstream also
     * returns errors; only a series of them shows that it is broken.
     */
    private static final HealthOptions ERROR_RESPONSE_HEALTH = new HealthOptions(6, 20, 0.5, 1_500, 6_000);

    private final HealthTracker health = HealthPolicy.EJECTION.newTracker(CONTACT_HEALTH);
    private final HealthTracker errorResponseHealth = HealthPolicy.EJECTION.newTracker(ERROR_RESPONSE_HEALTH);
    private final PrefixCacheEstimate cache;
    private ListedUpstream listEntry;
    private OutstandingWork otherGatewaysWork;
    private long queuedTokens;
    private double latencyMillis;
    private double lastLatencyMillis;
    private long latencyAtMillis;
    private long backoffUntilMillis = Long.MIN_VALUE;
    private final PrefillSlowdown prefillSlowdown = new PrefillSlowdown();
    private final StreamStartDelay startDelay = new StreamStartDelay();
    private boolean announcedLeaving;
    private long refusesUntilMillis = Long.MIN_VALUE / 4;
    private long lastResponseAtMillis = Long.MIN_VALUE;
    private boolean ejected;
    private boolean lastContactFailed;
    private final Set<InFlightRequest> ownRequests = new HashSet<>();

    Upstream(ListedUpstream listed, long memoryTokens, double latencyMillis, long nowMillis) {
        this.listEntry = listed;
        this.cache = new PrefixCacheEstimate(memoryTokens);
        this.otherGatewaysWork = new OutstandingWork(listed.instanceId(), 0, 0);
        this.latencyMillis = latencyMillis;
        this.latencyAtMillis = nowMillis;
    }

    /** Returns the instance id of the upstream process. */
    public String id() {
        return listEntry.instanceId();
    }

    /** Returns the version of its software, empty if it is not known. */
    public String softwareVersion() {
        return listEntry.softwareVersion();
    }

    /** Returns whether its software is of the given version; an unknown version, which is empty, fits none. */
    boolean hasSoftwareVersion(String version) {
        return !version.isEmpty() && version.equals(softwareVersion());
    }

    /** Returns its listen address. */
    public Address address() {
        return listEntry.address();
    }

    /** Returns its current entry in the host list. */
    public ListedUpstream listEntry() {
        return listEntry;
    }

    UpstreamState state(double tokensPerMilli, int rateSamples, long nowMillis) {
        return new UpstreamState(
                id(),
                listEntry.service(),
                address(),
                listEntry.role(),
                softwareVersion(),
                leaving(),
                Math.max(0, refusesUntilMillis - nowMillis),
                isAvailable(nowMillis),
                inFlight(),
                tokensPerMilli,
                rateSamples);
    }

    /** Returns whether it is about to stop, according to the host list or to itself. */
    boolean leaving() {
        return listEntry.leaving() || announcedLeaving;
    }

    /** Returns whether it may receive new requests at all, by what it and the host list say. */
    boolean acceptsRequests(long nowMillis) {
        return !leaving() && nowMillis >= refusesUntilMillis;
    }

    /** Returns the monotonic time until which it has asked for no requests. */
    long refusesUntilMillis() {
        return refusesUntilMillis;
    }

    /** Records that it is leaving; returns whether that is news. */
    boolean announceLeaving() {
        boolean news = !announcedLeaving;
        announcedLeaving = true;
        return news;
    }

    /** Records that it wants no requests until a monotonic time. */
    void refuseUntil(long untilMillis) {
        refusesUntilMillis = Math.max(refusesUntilMillis, untilMillis);
    }

    void updateListEntry(ListedUpstream latest) {
        listEntry = latest;
    }

    void cacheCapacityTokens(long tokens) {
        cache.setCapacityTokens(tokens);
    }

    void othersWork(OutstandingWork work) {
        otherGatewaysWork = work;
    }

    int inFlight() {
        return ownRequests.size() + otherGatewaysWork.requests();
    }

    long queuedTokens() {
        return queuedTokens + otherGatewaysWork.promptTokens();
    }

    OutstandingWork ownWork() {
        return new OutstandingWork(id(), ownRequests.size(), queuedTokens);
    }

    double latencyMillis() {
        return latencyMillis;
    }

    /** Returns whether it seems to be in a slow phase, as a replica of a plain service. */
    boolean isSlow(long nowMillis) {
        double pendingMillis = ownRequests.stream()
                .mapToDouble(request -> request.elapsedMillis(nowMillis))
                .max()
                .orElse(0);
        double lastAgeMillis = (double) nowMillis - latencyAtMillis;
        return RecentLatency.isSlow(latencyMillis, lastLatencyMillis, lastAgeMillis, pendingMillis);
    }

    long latencyAtMillis() {
        return latencyAtMillis;
    }

    void recordRemotePrefill(List<PrefixCacheEstimate.Segment> segments) {
        cache.recordPrefill(segments);
    }

    int cachedTokens(List<PrefixCacheEstimate.Segment> segments) {
        return cache.cachedTokens(segments);
    }

    boolean isAvailable(long nowMillis) {
        return acceptsRequests(nowMillis)
                && nowMillis >= backoffUntilMillis
                && admitsFromMillis(nowMillis) <= nowMillis;
    }

    void backOffUntil(long untilMillis) {
        backoffUntilMillis = untilMillis;
    }

    void started(InFlightRequest request, long tokens, List<PrefixCacheEstimate.Segment> segments) {
        ownRequests.add(request);
        queuedTokens += tokens;
        cache.recordPrefill(segments);
    }

    void prefillCompleted(long tokens) {
        queuedTokens -= tokens;
    }

    void ended(InFlightRequest request, long tokens) {
        ownRequests.remove(request);
        queuedTokens -= tokens;
    }

    PrefillSlowdown prefillSlowdown() {
        return prefillSlowdown;
    }

    StreamStartDelay startDelay() {
        return startDelay;
    }

    /** Returns the ratio of its prefill time to the estimated one, including prefills that are still pending. */
    double slowdown(long nowMillis) {
        double pending = ownRequests.stream()
                .mapToDouble(request -> request.pendingSlowdown(nowMillis))
                .max()
                .orElse(1);
        return Math.max(prefillSlowdown.value(nowMillis), pending);
    }

    /** Returns by how much its streams start later than usual, including streams that have not started yet. */
    double startDelayMillis(long nowMillis) {
        double pending = ownRequests.stream()
                .mapToDouble(request -> request.pendingStartDelayMillis(nowMillis))
                .max()
                .orElse(0);
        return Math.max(startDelay.estimateMillis(nowMillis), pending);
    }

    void recordResponse(long nowMillis) {
        lastResponseAtMillis = nowMillis;
    }

    /** Returns whether a request is overdue and no response has arrived since that request started. */
    boolean isUnresponsive(double tokensPerMilli, long nowMillis) {
        return ownRequests.stream()
                .anyMatch(request -> request.isOverdueWithoutResponse(lastResponseAtMillis, tokensPerMilli, nowMillis));
    }

    /** Records an outcome; returns whether it changed the upstream from available to ejected, or back. */
    boolean recordOutcome(UpstreamOutcome outcome, double millis, long nowMillis) {
        if (outcome == UpstreamOutcome.SUCCESS) {
            lastLatencyMillis = millis;
            latencyMillis += LATENCY_WEIGHT * (millis - latencyMillis);
            latencyAtMillis = nowMillis;
        }
        lastContactFailed = outcome == UpstreamOutcome.NO_RESPONSE;
        health.onOutcome(!lastContactFailed, nowMillis);
        errorResponseHealth.onOutcome(outcome == UpstreamOutcome.SUCCESS, nowMillis);
        boolean nowLost = admitsFromMillis(nowMillis) > nowMillis;
        boolean changed = nowLost != ejected && (nowLost || outcome == UpstreamOutcome.SUCCESS);
        ejected = changed ? nowLost : ejected;
        return changed;
    }

    /** Returns whether the latest request whose outcome is known got no response. */
    boolean lastContactFailed() {
        return lastContactFailed;
    }

    private long admitsFromMillis(long nowMillis) {
        return Math.max(health.availableFromMillis(nowMillis), errorResponseHealth.availableFromMillis(nowMillis));
    }

    boolean ejected() {
        return ejected;
    }

    long ejectedUntilMillis(long nowMillis) {
        return Math.max(nowMillis, admitsFromMillis(nowMillis));
    }
}
