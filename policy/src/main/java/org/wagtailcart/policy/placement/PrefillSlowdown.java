package org.wagtailcart.policy.placement;

/**
 * Moving average of the ratio between actual and estimated prefill time of one engine. Queues that other gateways fill
 * make every engine look slow at times, so only long prefills are sampled and small slowdowns are reported as none.
 * Does no I/O; not thread safe.
 */
public final class PrefillSlowdown {
    /** Weight of a new observation in the running mean. */
    private static final double WEIGHT = 0.2;

    /** Age of the latest sample after which the average is discarded, because the speed may have changed. */
    private static final long MAX_AGE_MILLIS = 4_000;

    /** Minimum estimated time of a sample; a shorter prefill depends more on the queue than on the speed. */
    private static final double MIN_SAMPLE_MILLIS = 120;

    /** Tolerance added to the estimate. */
    private static final double SLACK_MILLIS = 60;

    /** Slowdown from which an engine is treated as slow. */
    private static final double MIN_SLOWDOWN = 2;

    /** Upper bound of a sample. */
    private static final double MAX_SLOWDOWN = 8;

    private double mean = 1;
    private long observedAtMillis;

    /** Records the duration of a prefill. */
    public void record(double actualMillis, double estimatedMillis, long nowMillis) {
        if (estimatedMillis < MIN_SAMPLE_MILLIS) {
            return;
        }
        mean = currentMean(nowMillis) + WEIGHT * (ratio(actualMillis, estimatedMillis) - currentMean(nowMillis));
        observedAtMillis = nowMillis;
    }

    /** Records an abandoned prefill. Its duration is a lower bound, so it is ignored unless it raises the average. */
    public void recordAbandoned(double waitedMillis, double estimatedMillis, long nowMillis) {
        if (ratio(waitedMillis, estimatedMillis) > currentMean(nowMillis)) {
            record(waitedMillis, estimatedMillis, nowMillis);
        }
    }

    /** Returns the expected ratio of actual to estimated prefill time, 1 when the engine is not treated as slow. */
    public double value(long nowMillis) {
        return ignoreSmall(currentMean(nowMillis));
    }

    /** Returns the slowdown that a pending prefill shows so far, 1 when it is small. */
    public static double ofPending(double waitedMillis, double estimatedMillis) {
        return ignoreSmall(ratio(waitedMillis, estimatedMillis));
    }

    private static double ignoreSmall(double slowdown) {
        return slowdown >= MIN_SLOWDOWN ? slowdown : 1;
    }

    private static double ratio(double actualMillis, double estimatedMillis) {
        return Math.min(MAX_SLOWDOWN, actualMillis / (estimatedMillis + SLACK_MILLIS));
    }

    private double currentMean(long nowMillis) {
        return nowMillis - observedAtMillis <= MAX_AGE_MILLIS ? mean : 1;
    }
}
