package org.wagtailcart.policy.placement;

/**
 * Moving average of the delay beyond the usual at the start of an engine's streams, caused by a slow engine or a slow
 * link to or from it. The average decays over time, so that an engine that has recovered is tried again. Does no I/O;
 * not thread safe.
 */
public final class StreamStartDelay {
    /** Usual time from the send to the first event at a healthy engine. */
    static final double BASELINE_MILLIS = 60;

    /** Weight of a new observation in the running mean. */
    private static final double WEIGHT = 0.3;

    /** Time in which the average decays by half. */
    private static final double HALF_LIFE_MILLIS = 1_500;

    private double meanMillis;
    private long observedAtMillis;

    /** Records the time from a send to the first event. */
    public void record(double startMillis, long nowMillis) {
        double decayedMillis = estimateMillis(nowMillis);
        meanMillis = decayedMillis + WEIGHT * (excessMillis(startMillis) - decayedMillis);
        observedAtMillis = nowMillis;
    }

    /**
     * Records a stream that was abandoned before its first event. The time is a lower bound, so it is ignored unless it
     * raises the average.
     */
    public void recordAbandoned(double waitedMillis, long nowMillis) {
        if (excessMillis(waitedMillis) > estimateMillis(nowMillis)) {
            record(waitedMillis, nowMillis);
        }
    }

    /** Returns the expected delay beyond the usual. */
    public double estimateMillis(long nowMillis) {
        return meanMillis * Math.pow(0.5, Math.max(0, nowMillis - observedAtMillis) / HALF_LIFE_MILLIS);
    }

    /** Returns by how much the wait for a first event exceeds the usual time, at least 0. */
    public static double excessMillis(double waitedMillis) {
        return Math.max(0, waitedMillis - BASELINE_MILLIS);
    }
}
