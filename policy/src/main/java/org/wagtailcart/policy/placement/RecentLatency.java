package org.wagtailcart.policy.placement;

/**
 * Recent response times of a replica, by which a slow phase is recognized. An average over several calls still holds a
 * phase against the replica when it is over. Stateless.
 */
public final class RecentLatency {
    /** Ratio to the average from which a call is slow; calls to a sound replica differ by up to a fifth from theirs. */
    private static final double SLOW_RATIO = 1.6;

    /** Excess over the average below which a call is not slow; a busy gateway delays calls as much by itself. */
    private static final double MIN_EXCESS_MILLIS = 10;

    /** Age from which a slow call says nothing; slow phases take about as long. */
    private static final double MAX_AGE_MILLIS = 600;

    private RecentLatency() {}

    /**
     * Returns whether a replica seems to be in a slow phase.
     *
     * @param averageMillis average response time
     * @param lastMillis response time of its last call
     * @param lastAgeMillis time since the end of that call
     * @param pendingMillis time that the oldest call without a response has taken so far, 0 for none
     */
    public static boolean isSlow(double averageMillis, double lastMillis, double lastAgeMillis, double pendingMillis) {
        double limitMillis = Math.max(SLOW_RATIO * averageMillis, averageMillis + MIN_EXCESS_MILLIS);
        return pendingMillis > limitMillis || (lastAgeMillis < MAX_AGE_MILLIS && lastMillis > limitMillis);
    }
}
