package org.wagtailcart.policy.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One gateway's part of a retry budget that all gateways share: a ratio of the requests of a sliding window, and an equal
 * part of a fixed reserve. Not thread safe.
 */
public final class SharedRetryBudget {
    /** Part of the budget that is used; the rest covers requests whose number is counted elsewhere. */
    static final double USED_PART = 0.8;

    private final double ratio;
    private final int reserve;
    private final long windowMillis;
    private final Deque<Long> requestsMillis = new ArrayDeque<>();
    private final Deque<Long> retriesMillis = new ArrayDeque<>();

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
        requestsMillis.add(nowMillis);
        expire(nowMillis);
    }

    /**
     * Takes one retry and returns whether it was there.
     *
     * @param gateways gateways that share the reserve
     */
    public boolean tryRetry(int gateways, long nowMillis) {
        expire(nowMillis);
        if (retriesMillis.size() + 1 > allowed(gateways)) {
            return false;
        }
        retriesMillis.add(nowMillis);
        return true;
    }

    /** Returns the retries that are left in the window. */
    public int left(int gateways, long nowMillis) {
        expire(nowMillis);
        return (int) Math.max(0, allowed(gateways) - retriesMillis.size());
    }

    private double allowed(int gateways) {
        return USED_PART * (ratio * requestsMillis.size() + (double) reserve / Math.max(1, gateways));
    }

    private void expire(long nowMillis) {
        drop(requestsMillis, nowMillis - windowMillis);
        drop(retriesMillis, nowMillis - windowMillis);
    }

    private static void drop(Deque<Long> times, long before) {
        while (!times.isEmpty() && times.peekFirst() < before) {
            times.removeFirst();
        }
    }
}
