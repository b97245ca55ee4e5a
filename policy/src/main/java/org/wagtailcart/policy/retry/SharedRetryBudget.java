package org.wagtailcart.policy.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sliding-window budget of one gateway's retries, as its share of a budget for all gateways: a ratio of its requests in
 * the window, and an equal share of a fixed reserve. Not thread safe.
 */
public final class SharedRetryBudget {
    /** Share of the budget that may be spent; the rest is a margin for requests that are counted elsewhere. */
    static final double USABLE_FRACTION = 0.8;

    private final double ratio;
    private final int reserve;
    private final long windowMillis;
    private final Deque<Long> requestTimes = new ArrayDeque<>();
    private final Deque<Long> retryTimes = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio retries per request
     * @param reserve retries per window that all gateways together may make beyond the ratio
     * @param windowMillis length of the window
     */
    public SharedRetryBudget(double ratio, int reserve, long windowMillis) {
        this.ratio = ratio;
        this.reserve = reserve;
        this.windowMillis = windowMillis;
    }

    /** Records a request of a caller. */
    public void onRequest(long nowMillis) {
        requestTimes.add(nowMillis);
        expire(nowMillis);
    }

    /**
     * Takes one retry from the budget and returns whether one was available.
     *
     * @param gateways gateways that share the reserve
     */
    public boolean tryAcquire(int gateways, long nowMillis) {
        expire(nowMillis);
        if (retryTimes.size() + 1 > allowed(gateways)) {
            return false;
        }
        retryTimes.add(nowMillis);
        return true;
    }

    /** Returns the number of retries remaining in the current window. */
    public int remaining(int gateways, long nowMillis) {
        expire(nowMillis);
        return (int) Math.max(0, allowed(gateways) - retryTimes.size());
    }

    private double allowed(int gateways) {
        return USABLE_FRACTION * (ratio * requestTimes.size() + (double) reserve / Math.max(1, gateways));
    }

    private void expire(long nowMillis) {
        dropBefore(requestTimes, nowMillis - windowMillis);
        dropBefore(retryTimes, nowMillis - windowMillis);
    }

    private static void dropBefore(Deque<Long> times, long before) {
        while (!times.isEmpty() && times.peekFirst() < before) {
            times.removeFirst();
        }
    }
}
