package org.wagtailcart.policy.share;

/** Time after which a refused caller should return, spread so that callers refused together do not return together. */
public final class RetryAfter {
    /** Part of the time left that a caller waits at most before it sends its request again. */
    private static final double MAX_PART_OF_TIME_LEFT = 1.0 / 3;

    private RetryAfter() {}

    /**
     * Returns the time until the excess wait has drained, plus a random part of the same length.
     *
     * @param excessWaitMillis time by which the wait is too long for the request, 0 if it is not known
     * @param callerLeftMillis time until the deadline of the caller
     * @param random uniform random number from 0 to 1
     * @param leastMillis least time, which is also assumed for an unknown wait
     */
    public static long millis(double excessWaitMillis, long callerLeftMillis, double random, long leastMillis) {
        double drainMillis = Math.max(excessWaitMillis, (double) leastMillis);
        double spreadMillis = drainMillis * (1 + random);
        return Math.max(leastMillis, (long) Math.min(spreadMillis, MAX_PART_OF_TIME_LEFT * callerLeftMillis));
    }
}
