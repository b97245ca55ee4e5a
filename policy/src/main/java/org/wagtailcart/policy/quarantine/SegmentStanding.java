package org.wagtailcart.policy.quarantine;

import java.util.List;

/** What is known of a suspect besides its crashes, which decides how many crashes convict it. */
enum SegmentStanding {
    /** No request with the segment is known to have completed. */
    UNPROVEN(3, 200),
    /**
     * The content of a single request. It is at a crash by coincidence only if it was sent to that engine by chance, so
     * crashes shortly after each other count, as when it is resumed.
     */
    SINGLE_REQUEST(3, 0),
    /**
     * Requests with the segment have completed, so that its presence at several crashes is more likely a coincidence:
     * segments that all requests share are at every crash.
     */
    PROVEN(4, 1_000),
    /** The segment was quarantined before, and no request with it has completed since. */
    OFFENDER(1, 0);

    private final int convictingCrashes;
    private final long minSpacingMillis;

    /**
     * @param convictingCrashes crashes without a completed request after which the segment is held to be their cause
     * @param minSpacingMillis time within which several crashes count as one, because engines that share a failure
     *     domain or a rack may end together for another reason
     */
    SegmentStanding(int convictingCrashes, long minSpacingMillis) {
        this.convictingCrashes = convictingCrashes;
        this.minSpacingMillis = minSpacingMillis;
    }

    /** Returns whether crashes at the given times, in ascending order, are enough evidence against the segment. */
    boolean convicts(List<Long> crashTimesMillis) {
        int counted = 0;
        long lastCountedMillis = 0;
        for (long atMillis : crashTimesMillis) {
            if (counted == 0 || atMillis - lastCountedMillis >= minSpacingMillis) {
                counted++;
                lastCountedMillis = atMillis;
            }
        }
        return counted >= convictingCrashes;
    }
}
