package org.wagtailcart.routes;

import java.util.List;

/**
 * Rule for the requests of one host name and path prefix.
 *
 * @param name name of the route
 * @param hostName value of the Host header without a port
 * @param pathPrefix start of the path, begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a request may be kept waiting
 * @param targetLatencyMillis time within which a response, or the first event of a stream, is on time
 * @param priority rank, 0 is the highest
 * @param splits services that serve the route
 * @param maxAttempts upstreams to which one request may be sent
 * @param prefixAffinity whether requests share prompt prefixes that upstreams cache
 * @param resumable whether a stream may be continued by another upstream
 * @param gapTargetMillis longest pause between events of a stream that is on time, 0 for other routes
 */
public record Route(
        String name,
        String hostName,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        List<TrafficSplit> splits,
        int maxAttempts,
        boolean prefixAffinity,
        boolean resumable,
        long gapTargetMillis) {
    /** Returns whether a request on this route may run more than once. */
    public boolean retryable() {
        return kind.retryable(resumable);
    }
}
