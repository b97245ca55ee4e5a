package org.wagtailcart.policy.placement;

/**
 * Urgency of a request at an engine, which admits waiting prompts by rank. The route's priority decides; among its requests
 * long prompts that must start at once to be on time go first, and those that cannot be on time any more go last. Pure.
 */
public final class RequestRank {
    /** Rank of the least urgent requests. */
    public static final int LEAST_URGENT = 9;

    /** A request with less slack than this must start at once. */
    static final double URGENT_SLACK_MILLIS = 200;

    private RequestRank() {}

    /**
     * Returns a rank, 0 is the most urgent.
     *
     * @param priority priority of the route, 0 is the highest
     * @param slackMillis time by which the request could be started later and still be on time, negative when it is late
     */
    public static int of(int priority, double slackMillis) {
        int late = slackMillis < 0 ? 1 : 0;
        int urgent = slackMillis >= 0 && slackMillis < URGENT_SLACK_MILLIS ? 1 : 0;
        return Math.max(0, Math.min(LEAST_URGENT, of(priority) + late - urgent));
    }

    /** Returns the rank of a request whose duration is not known. */
    public static int of(int priority) {
        return Math.max(0, Math.min(LEAST_URGENT, 2 * priority));
    }
}
