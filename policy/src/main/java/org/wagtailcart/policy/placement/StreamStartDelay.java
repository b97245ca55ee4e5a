package org.wagtailcart.policy.placement;

/**
 * How much later than usual an engine takes part in the start of a stream: a slow engine, or a slow link to or from it. Old
 * observations fade, so that an engine that has recovered is tried again. Pure; not thread safe.
 */
public final class StreamStartDelay {
    /** Time from the send to the first event at a sound engine. */
    static final double BASELINE_MILLIS = 60;

    /** Weight of a new observation in the running mean. */
    private static final double WEIGHT = 0.3;

    /** Time after which an observation counts half. */
    private static final double HALF_LIFE_MILLIS = 1_500;

    private double meanMillis;
    private long observedAtMillis;

    /** Notes the time from a send to the first event. */
    public void record(double startMillis, long nowMillis) {
        double decayedMillis = estimateMillis(nowMillis);
        meanMillis = decayedMillis + WEIGHT * (excessMillis(startMillis) - decayedMillis);
        observedAtMillis = nowMillis;
    }

    /** Notes a stream that was given up before its first event; it would have started later than that. */
    public void recordAbandoned(double waitedMillis, long nowMillis) {
        if (excessMillis(waitedMillis) > estimateMillis(nowMillis)) {
            record(waitedMillis, nowMillis);
        }
    }

    /** Returns the delay to expect. */
    public double estimateMillis(long nowMillis) {
        return meanMillis * Math.pow(0.5, Math.max(0, nowMillis - observedAtMillis) / HALF_LIFE_MILLIS);
    }

    /** Returns the delay of a stream that has waited for its first event, 0 when that is usual. */
    public static double excessMillis(double waitedMillis) {
        return Math.max(0, waitedMillis - BASELINE_MILLIS);
    }
}
