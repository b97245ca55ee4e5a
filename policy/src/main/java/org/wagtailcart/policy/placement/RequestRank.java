package org.wagtailcart.policy.placement;

/**
 * Scheduling rank of a request at an engine, which admits queued prompts by rank. The route's priority decides; within
 * a priority, long prompts that must start at once to be on time go first, and those that can no longer be on time go
 * last. Stateless.
 */
public final class RequestRank {
    /** Rank of the least urgent requests. */
    public static final int LEAST_URGENT = 9;

    /** Slack below which a request must start at once. */
    static final double URGENT_SLACK_MILLIS = 200;

    private RequestRank() {}

    /**
     * Returns the rank of a request, 0 is the most urgent.
     *
     * @param priority priority of the route, 0 is the highest
     * @param slackMillis time by which the start may be delayed without missing the target, negative when late
     */
    public static int of(int priority, double slackMillis) {
        int late = slackMillis < 0 ? 1 : 0;
        int urgent = slackMillis >= 0 && slackMillis < URGENT_SLACK_MILLIS ? 1 : 0;
        return Math.max(0, Math.min(LEAST_URGENT, of(priority) + late - urgent));
    }

    /** Returns the rank of a request whose workspace is above its share. */
    public static int lower(int rank) {
        return Math.min(LEAST_URGENT, rank + 1);
    }

    /** Returns the rank of a request whose duration is unknown. */
    public static int of(int priority) {
        return Math.max(0, Math.min(LEAST_URGENT, 2 * priority));
    }
}
