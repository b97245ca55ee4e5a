package org.wagtailcart.policy;

import org.wagtailcart.common.EngineRole;

/**
 * What is known of one engine from its newest load report.
 *
 * @param upstreamId engine
 * @param role role it serves or changes to
 * @param reachable whether it answers
 * @param changing whether it is out of service for an order
 * @param running requests running
 * @param queued requests waiting for it
 * @param promptTokensPerSecond prompt tokens processed
 * @param outputTokensPerSecond output tokens generated
 * @param batchSize mean batch size
 * @param tokenIntervalMillis mean time between tokens of a stream, 0 when it generated none
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
    /** Returns whether the engine serves requests now. */
    public boolean inService() {
        return reachable && !changing;
    }
}
