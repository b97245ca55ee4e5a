package org.wagtailcart.policy.placement;

/**
 * Urgency of a request at an engine, which admits waiting prompts by rank. The less time is left until it must be started to
 * be on time, the more urgent it is; a long prompt must start early. A request that cannot be on time any more yields to
 * those that can. Pure.
 */
public final class RequestRank {
    /** Rank of the least urgent requests. */
    public static final int LAST = 9;

    /** Slack that makes a request less urgent by one rank. */
    static final double STEP_MILLIS = 150;

    /** Ranks of slack; a request with more of it is not less urgent. */
    static final int MAX_STEPS = 4;

    private static final int LATE = 8;

    private RequestRank() {}

    /**
     * Returns a rank, 0 is the most urgent.
     *
     * @param priority priority of the route, 0 is the highest
     * @param slackMillis time by which the request could be started later and still be on time, negative when it is late
     */
    public static int of(int priority, double slackMillis) {
        if (slackMillis < 0) {
            return LATE;
        }
        int steps = (int) Math.min(MAX_STEPS, slackMillis / STEP_MILLIS);
        return Math.max(0, Math.min(LATE - 1, steps + priority));
    }
}
