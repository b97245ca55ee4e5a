package org.wagtailcart.policy;

import org.wagtailcart.common.EngineRole;

/**
 * State of one engine according to its latest load report.
 *
 * @param upstreamId engine
 * @param role role it serves or changes to
 * @param reachable whether it responds
 * @param changing whether it is out of service while it carries out an order
 * @param running requests that it runs
 * @param queued requests in its queue
 * @param promptTokensPerSecond rate of prompt tokens prefilled
 * @param outputTokensPerSecond rate of output tokens decoded
 * @param batchSize mean batch size
 * @param tokenIntervalMillis mean time between tokens of a stream, 0 when it decoded none
 * @param aboveSoftLimit whether it ran above the soft limit
 * @param measuredAtMillis time of the measurement
 */
public record EngineObservation(
        String upstreamId,
        EngineRole role,
        boolean reachable,
        boolean changing,
        int running,
        int queued,
        double promptTokensPerSecond,
        double outputTokensPerSecond,
        double batchSize,
        double tokenIntervalMillis,
        boolean aboveSoftLimit,
        long measuredAtMillis) {
    /** Returns whether the engine is reachable and not out of service for an order. */
    public boolean inService() {
        return reachable && !changing;
    }
}
