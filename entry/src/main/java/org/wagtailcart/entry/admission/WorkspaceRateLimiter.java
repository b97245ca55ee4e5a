package org.wagtailcart.entry.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits the requests per second of each workspace. Every entry grants an equal share of the limit, because the load
 * balancer spreads callers evenly and a shared count would put a message between processes before every request. A
 * workspace may use up to one second of its share at once.
 */
public final class WorkspaceRateLimiter {
    /** More than twice the 30,000 workspaces of the target size; one entry takes about 150 bytes. */
    static final int MAX_TRACKED_WORKSPACES = 65_536;

    private static final long BURST_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** For each workspace the time at which its allowance is whole again; the longest unused is first. */
    private final Map<String, Long> fullAtNanos = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_TRACKED_WORKSPACES;
        }
    };

    /**
     * Returns whether a request is within the limit, and accounts for it.
     *
     * @param requestsPerSecond limit over all entries; 0 for none
     * @param entries number of entries that share the limit, at least 1
     */
    public synchronized boolean tryAcquire(String workspace, long requestsPerSecond, int entries, long nowMillis) {
        if (requestsPerSecond <= 0) {
            return true;
        }
        long costNanos = BURST_NANOS * Math.max(1, entries) / requestsPerSecond;
        long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMillis);
        long fullAt = Math.max(nowNanos, fullAtNanos.getOrDefault(workspace, nowNanos));
        // A share below one request per second still admits one request when the allowance is whole.
        if (fullAt > nowNanos && fullAt + costNanos > nowNanos + BURST_NANOS) {
            return false;
        }
        fullAtNanos.put(workspace, fullAt + costNanos);
        return true;
    }

    /** Returns the number of workspaces with an account. */
    public synchronized int trackedCount() {
        return fullAtNanos.size();
    }
}
