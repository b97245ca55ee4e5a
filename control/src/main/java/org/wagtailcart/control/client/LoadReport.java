package org.wagtailcart.control.client;

/**
 * Load of one upstream, measured by its sidecar since the last report.
 *
 * @param upstreamId upstream
 * @param reachable whether it answers
 * @param running requests running
 * @param queued requests waiting in the sidecar
 * @param promptTokensPerSecond prompt tokens processed
 * @param outputTokensPerSecond output tokens generated
 * @param batchSize mean batch size the engine reported
 * @param tokenIntervalMillis mean time between tokens of a stream
 * @param aboveSoftLimit whether it ran hard, that is above the soft limit
 */
public record LoadReport(
        String upstreamId,
        boolean reachable,
        int running,
        int queued,
        double promptTokensPerSecond,
        double outputTokensPerSecond,
        double batchSize,
        double tokenIntervalMillis,
        boolean aboveSoftLimit) {}
