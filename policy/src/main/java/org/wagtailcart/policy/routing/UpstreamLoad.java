package org.wagtailcart.policy.routing;

import java.util.Arrays;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.policy.health.HealthTracker;

/** This entry's account of one upstream. */
final class UpstreamLoad {
    static final int PROMPT_SLOT = 0;
    static final int OUTPUT_SLOT = 1;

    final String id;
    final int[] positions = new int[2];
    final HealthTracker health;
    RoutableUpstream upstream;
    int inFlight;
    /** Prompt work not yet processed, in output-token units. */
    double promptWork;
    /** Output tokens still to come. */
    double outputWork;
    /** Requests of other entries, from the newest report. */
    double otherEntriesRequests;

    long reportedAtMillis = Long.MIN_VALUE / 2;
    /** Moving average of the work of one request here. */
    double workPerRequest;

    long pausedUntilMillis;
    /** Newest time scheduled for a check of this upstream. */
    long readmissionAtMillis;

    UpstreamLoad(RoutableUpstream upstream, HealthTracker health) {
        this.id = upstream.upstreamId();
        this.health = health;
        this.upstream = upstream;
        Arrays.fill(positions, -1);
    }

    /** Returns whether it takes one more request of this entry, given the entry's share of the pool. */
    boolean hasRoom(double share) {
        return inFlight < Math.max(1, Math.ceil(upstream.maxInFlight() * share));
    }

    /** Returns the time from which it may get requests again after failures or a refusal. */
    long availableFromMillis(long nowMillis) {
        return Math.max(pausedUntilMillis, health.availableFromMillis(nowMillis));
    }

    EngineRole role() {
        return upstream.role();
    }

    /** Work of other entries, fading out as the report ages. */
    double otherEntriesWork(long nowMillis, long maxAgeMillis) {
        double age = nowMillis - reportedAtMillis;
        double reportWeight = Math.max(0, 1 - age / maxAgeMillis);
        return otherEntriesRequests * workPerRequest * reportWeight;
    }

    void recordRequest(double work) {
        workPerRequest = workPerRequest == 0 ? work : workPerRequest + 0.1 * (work - workPerRequest);
    }
}
