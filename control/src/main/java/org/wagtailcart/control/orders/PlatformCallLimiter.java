package org.wagtailcart.control.orders;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limit on the rate of the calls that only the lease holder makes to the platform, shared by all its duties. Thread
 * safe.
 */
public final class PlatformCallLimiter {
    /** Length of the window in which the platform counts calls. */
    private static final long WINDOW_MILLIS = 1_000;
    /**
     * Calls in a window. The platform allows 50 from all hosts; calls of two windows may arrive in one when it is slow
     * to accept connections.
     */
    private static final int MAX_CALLS = 25;
    /** Pause of all duties after the platform refused a call because of the rate. */
    private static final long BACK_OFF_MILLIS = 1_000;

    private final Deque<Long> callsAtMillis = new ArrayDeque<>();
    private long pausedUntilMillis = Long.MIN_VALUE;

    /**
     * Counts a call if it may be made now, and returns whether it may.
     *
     * @param reserve calls of the window that are left to other duties
     */
    public synchronized boolean tryAcquire(int reserve, long nowMillis) {
        while (!callsAtMillis.isEmpty() && callsAtMillis.getFirst() <= nowMillis - WINDOW_MILLIS) {
            callsAtMillis.remove();
        }
        boolean allowed = nowMillis >= pausedUntilMillis && callsAtMillis.size() < MAX_CALLS - reserve;
        if (allowed) {
            callsAtMillis.add(nowMillis);
        }
        return allowed;
    }

    /** Pauses all calls, because the platform refused one for the rate. */
    public synchronized void backOff(long nowMillis) {
        pausedUntilMillis = nowMillis + BACK_OFF_MILLIS;
    }
}
