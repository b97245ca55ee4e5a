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
import org.wagtailcart.policy.placement.StreamStartDelay;

/** One upstream and what this gateway knows of it. Guarded by its {@link UpstreamRegistry}. */
public final class Upstream {
    /** Weight of a new latency in the running mean. */
    private static final double LATENCY_WEIGHT = 0.2;

    private static final HealthOptions HEALTH = new HealthOptions(3, 10, 0.3, 1_500, 6_000);
    /** An upstream's own failures are part of its answers; only a run of them says that it is broken. */
    private static final HealthOptions FAILURE_ANSWERS = new HealthOptions(6, 20, 0.5, 1_500, 6_000);

    private final HealthTracker health = HealthPolicy.EJECTION.newTracker(HEALTH);
    private final HealthTracker failureAnswers = HealthPolicy.EJECTION.newTracker(FAILURE_ANSWERS);
    private final PrefixCacheEstimate cache;
    private ListedUpstream listEntry;
    private OutstandingWork others;
    private long queuedTokens;
    private double latencyMillis;
    private long latencyAtMillis;
    private long backoffUntilMillis = Long.MIN_VALUE;
    private final PrefillSlowdown prefillSlowdown = new PrefillSlowdown();
    private final StreamStartDelay startDelay = new StreamStartDelay();
    private long lastResponseAtMillis = Long.MIN_VALUE;
    private boolean lost;
    private final Set<InFlightRequest> ownRequests = new HashSet<>();

    Upstream(ListedUpstream listed, long memoryTokens, double latencyMillis, long nowMillis) {
        this.listEntry = listed;
        this.cache = new PrefixCacheEstimate(memoryTokens);
        this.others = new OutstandingWork(listed.instanceId(), 0, 0);
        this.latencyMillis = latencyMillis;
        this.latencyAtMillis = nowMillis;
    }

    /** Returns the identity of its process. */
    public String id() {
        return listEntry.instanceId();
    }

    /** Returns where it listens. */
    public Address address() {
        return listEntry.address();
    }

    /** Returns its entry of the host list. */
    public ListedUpstream listEntry() {
        return listEntry;
    }

    void updateListEntry(ListedUpstream latest) {
        listEntry = latest;
    }

    void memoryTokens(long tokens) {
        cache.setCapacityTokens(tokens);
    }

    void othersWork(OutstandingWork work) {
        others = work;
    }

    int inFlight() {
        return ownRequests.size() + others.requests();
    }

    long queuedTokens() {
        return queuedTokens + others.promptTokens();
    }

    OutstandingWork ownWork() {
        return new OutstandingWork(id(), ownRequests.size(), queuedTokens);
    }

    double latencyMillis() {
        return latencyMillis;
    }

    long latencyAtMillis() {
        return latencyAtMillis;
    }

    void recordRemotePrefill(List<PrefixCacheEstimate.Segment> parts) {
        cache.recordPrefill(parts);
    }

    int cachedTokens(List<PrefixCacheEstimate.Segment> parts) {
        return cache.cachedTokens(parts);
    }

    boolean isAvailable(long nowMillis) {
        return !listEntry.leaving() && nowMillis >= backoffUntilMillis && admitsFromMillis(nowMillis) <= nowMillis;
    }

    void backOffUntil(long untilMillis) {
        backoffUntilMillis = untilMillis;
    }

    void started(InFlightRequest use, long tokens, List<PrefixCacheEstimate.Segment> parts) {
        ownRequests.add(use);
        queuedTokens += tokens;
        cache.recordPrefill(parts);
    }

    void promptRead(long tokens) {
        queuedTokens -= tokens;
    }

    void ended(InFlightRequest use, long tokens) {
        ownRequests.remove(use);
        queuedTokens -= tokens;
    }

    PrefillSlowdown prefillSlowdown() {
        return prefillSlowdown;
    }

    StreamStartDelay startDelay() {
        return startDelay;
    }

    /** Returns the time that it takes to read a prompt relative to its peers, as far as it is known by now. */
    double slowdown(long nowMillis) {
        double waiting = ownRequests.stream()
                .mapToDouble(use -> use.pendingSlowdown(nowMillis))
                .max()
                .orElse(1);
        return Math.max(prefillSlowdown.value(nowMillis), waiting);
    }

    /** Returns by how much its streams start later than usual, as far as it is known by now. */
    double startDelayMillis(long nowMillis) {
        double waiting = ownRequests.stream()
                .mapToDouble(use -> use.pendingStartDelayMillis(nowMillis))
                .max()
                .orElse(0);
        return Math.max(startDelay.estimateMillis(nowMillis), waiting);
    }

    void recordResponse(long nowMillis) {
        lastResponseAtMillis = nowMillis;
    }

    /** Returns whether requests wait here longer than they should while no other gets an answer. */
    boolean isUnresponsive(long nowMillis) {
        return ownRequests.stream().anyMatch(use -> use.isUnanswered(lastResponseAtMillis, nowMillis));
    }

    /** Notes an outcome; returns whether the upstream is lost by it or, after it was lost, regained. */
    boolean recordOutcome(UpstreamOutcome outcome, double millis, long nowMillis) {
        if (outcome == UpstreamOutcome.SUCCESS) {
            latencyMillis += LATENCY_WEIGHT * (millis - latencyMillis);
            latencyAtMillis = nowMillis;
        }
        health.onOutcome(outcome != UpstreamOutcome.NO_RESPONSE, nowMillis);
        failureAnswers.onOutcome(outcome == UpstreamOutcome.SUCCESS, nowMillis);
        boolean nowLost = admitsFromMillis(nowMillis) > nowMillis;
        boolean changed = nowLost != lost && (nowLost || outcome == UpstreamOutcome.SUCCESS);
        lost = changed ? nowLost : lost;
        return changed;
    }

    private long admitsFromMillis(long nowMillis) {
        return Math.max(health.availableFromMillis(nowMillis), failureAnswers.availableFromMillis(nowMillis));
    }

    boolean lost() {
        return lost;
    }

    long lostUntilMillis(long nowMillis) {
        return Math.max(nowMillis, admitsFromMillis(nowMillis));
    }
}
