package org.wagtailcart.entry.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Rate limiter for the requests per second of each workspace. Every entry enforces an equal share of the limit, because
 * the load balancer spreads callers evenly and a shared counter would cost a message between processes for every
 * request. The burst is one second of the share.
 */
public final class WorkspaceRateLimiter {
    /** More than twice the 30,000 workspaces of the target size; each takes about 150 bytes. */
    static final int MAX_TRACKED_WORKSPACES = 65_536;

    private static final long BURST_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time at which the allowance of each workspace is full again, least recently used first for eviction. */
    private final Map<String, Long> fullAtNanos = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_TRACKED_WORKSPACES;
        }
    };

    /**
     * Returns whether a request is within the limit, and if so deducts it from the allowance.
     *
     * @param requestsPerSecond limit over all entries; 0 for no limit
     * @param entries number of entries that share the limit, at least 1
     */
    public synchronized boolean tryAcquire(String workspace, long requestsPerSecond, int entries, long nowMillis) {
        if (requestsPerSecond <= 0) {
            return true;
        }
        if (millisUntilNext(workspace, requestsPerSecond, entries, nowMillis) > 0) {
            return false;
        }
        long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMillis);
        fullAtNanos.merge(workspace, nowNanos, Math::max);
        fullAtNanos.merge(workspace, costNanos(requestsPerSecond, entries), Long::sum);
        return true;
    }

    /** Returns the time until another request is within the limit, 0 if it is at once. */
    public synchronized long millisUntilNext(String workspace, long requestsPerSecond, int entries, long nowMillis) {
        long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMillis);
        long fullInNanos = fullAtNanos.getOrDefault(workspace, nowNanos) - nowNanos;
        // A share below one request per second still admits one request when the allowance is full.
        long allowedNanos = Math.max(0, BURST_NANOS - costNanos(requestsPerSecond, entries));
        return Math.max(0, -Math.floorDiv(allowedNanos - fullInNanos, TimeUnit.MILLISECONDS.toNanos(1)));
    }

    private static long costNanos(long requestsPerSecond, int entries) {
        return BURST_NANOS * Math.max(1, entries) / requestsPerSecond;
    }

    /** Returns the number of tracked workspaces. */
    public synchronized int trackedCount() {
        return fullAtNanos.size();
    }
}
