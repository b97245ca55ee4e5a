package org.wagtailcart.control.client;

/**
 * Load of one upstream since the last report, measured by its sidecar, or demand for one model, measured by an entry.
 *
 * @param upstreamId upstream, or the model in a report of demand
 * @param reachable whether the upstream responds
 * @param running requests in flight
 * @param queued requests queued in the sidecar
 * @param promptTokensPerSecond rate of prompt tokens prefilled
 * @param outputTokensPerSecond rate of output tokens decoded
 * @param batchSize mean batch size reported by the engine
 * @param tokenIntervalMillis mean time between tokens of a stream
 * @param aboveSoftLimit whether the engine ran above the soft limit
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
