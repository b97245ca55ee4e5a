package org.wagtailcart.policy.routing;

import java.util.Arrays;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.policy.health.HealthTracker;

/** Load and health of one upstream as tracked by this entry. */
final class UpstreamLoad {
    static final int PROMPT_SLOT = 0;
    static final int OUTPUT_SLOT = 1;

    final String id;
    final int[] positions = new int[2];
    final HealthTracker health;
    RoutableUpstream upstream;
    int inFlight;
    /** Prompt work not yet prefilled, in units of output tokens. */
    double promptWork;
    /** Output tokens not yet decoded. */
    double outputWork;
    /** Requests of other entries, from the latest report. */
    double otherEntriesRequests;

    long reportedAtMillis = Long.MIN_VALUE / 2;
    /** Moving average of the work per request on this upstream. */
    double workPerRequest;

    long refusedUntilMillis;
    /** Time of the most recently scheduled readmission check. */
    long readmissionAtMillis;

    UpstreamLoad(RoutableUpstream upstream, HealthTracker health) {
        this.id = upstream.upstreamId();
        this.health = health;
        this.upstream = upstream;
        Arrays.fill(positions, -1);
    }

    /** Returns whether this entry may send one more request, given its share of the upstream's capacity. */
    boolean hasCapacity(double share) {
        return inFlight < Math.max(1, Math.ceil(upstream.maxInFlight() * share));
    }

    /** Returns the time from which it accepts requests again after failures or a refusal. */
    long availableFromMillis(long nowMillis) {
        return Math.max(refusedUntilMillis, health.availableFromMillis(nowMillis));
    }

    EngineRole role() {
        return upstream.role();
    }

    /** Returns the estimated work of other entries, which decreases to 0 as the report ages. */
    double otherEntriesWork(long nowMillis, long maxAgeMillis) {
        double age = nowMillis - reportedAtMillis;
        double reportWeight = Math.max(0, 1 - age / maxAgeMillis);
        return otherEntriesRequests * workPerRequest * reportWeight;
    }

    void recordRequest(double work) {
        workPerRequest = workPerRequest == 0 ? work : workPerRequest + 0.1 * (work - workPerRequest);
    }
}
