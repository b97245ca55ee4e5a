package org.wagtailcart.routes;

import java.util.List;

/**
 * Route for the requests of one host name and path prefix.
 *
 * @param name name of the route
 * @param hostName value of the Host header without a port
 * @param pathPrefix prefix of the path, begins and ends with a slash
 * @param kind retry semantics of the requests
 * @param timeoutMillis maximum time that a request may wait for its response
 * @param targetLatencyMillis time within which a response, or the first event of a stream, is on time
 * @param priority scheduling priority, 0 is the highest
 * @param splits services that serve the route, with their weights
 * @param maxAttempts maximum number of attempts for one request
 * @param prefixAffinity whether requests have common prompt prefixes that upstreams cache
 * @param resumable whether a stream may be resumed on another upstream
 * @param gapTargetMillis maximum gap between events of a stream that counts as on time, 0 for other routes
 * @param open whether its requests need no API key, also when the table has workspaces
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
        long gapTargetMillis,
        boolean open) {
    /** Returns whether a request on this route may run more than once. */
    public boolean retryable() {
        return kind.retryable(resumable);
    }
}
