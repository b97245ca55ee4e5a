package org.wagtailcart.policy.placement;

/**
 * How much longer than estimated an engine takes to read prompts. Queues that other gateways fill make every engine look slow
 * at times, so that only long readings count, and only a great slowness. Pure; not thread safe.
 */
public final class PrefillSlowdown {
    /** Weight of a new observation in the running mean. */
    private static final double WEIGHT = 0.2;

    /** A speed that was not measured for longer says nothing any more. */
    private static final long MAX_AGE_MILLIS = 4_000;

    /** Shorter readings say more about the queue than about the speed. */
    private static final double MIN_SAMPLE_MILLIS = 120;

    private static final double SLACK_MILLIS = 60;

    /** Slowness from which an engine is taken to be slow. */
    private static final double MIN_SLOWDOWN = 2;

    private static final double MAX_SLOWDOWN = 8;

    private double mean = 1;
    private long observedAtMillis;

    /** Notes how long a prompt was read. */
    public void record(double actualMillis, double estimatedMillis, long nowMillis) {
        if (estimatedMillis < MIN_SAMPLE_MILLIS) {
            return;
        }
        mean = currentMean(nowMillis) + WEIGHT * (ratio(actualMillis, estimatedMillis) - currentMean(nowMillis));
        observedAtMillis = nowMillis;
    }

    /** Notes a reading that was given up; it would have taken longer than that. */
    public void recordAbandoned(double waitedMillis, double estimatedMillis, long nowMillis) {
        if (ratio(waitedMillis, estimatedMillis) > currentMean(nowMillis)) {
            record(waitedMillis, estimatedMillis, nowMillis);
        }
    }

    /** Returns the time that a reading takes relative to its estimate, 1 when it is as expected. */
    public double value(long nowMillis) {
        return ignoreSmall(currentMean(nowMillis));
    }

    /** Returns the slowness that a reading shows that is not done yet. */
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
