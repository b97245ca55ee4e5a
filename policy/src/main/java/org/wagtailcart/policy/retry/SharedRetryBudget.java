package org.wagtailcart.policy.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One gateway's part of a retry budget that all gateways share: a ratio of the requests of a sliding window, and an equal
 * part of a fixed reserve. Not thread safe.
 */
public final class SharedRetryBudget {
    /** Part of the budget that is used; the rest covers requests whose number is counted elsewhere. */
    static final double USABLE_FRACTION = 0.8;

    private final double ratio;
    private final int reserve;
    private final long windowMillis;
    private final Deque<Long> requestTimes = new ArrayDeque<>();
    private final Deque<Long> retryTimes = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio retries for each request
     * @param reserve retries that all gateways together may make beyond that
     * @param windowMillis length of the window
     */
    public SharedRetryBudget(double ratio, int reserve, long windowMillis) {
        this.ratio = ratio;
        this.reserve = reserve;
        this.windowMillis = windowMillis;
    }

    /** Notes a request of a caller. */
    public void onRequest(long nowMillis) {
        requestTimes.add(nowMillis);
        expire(nowMillis);
    }

    /**
     * Takes one retry and returns whether it was there.
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

    /** Returns the retries that are left in the window. */
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
