package org.wagtailcart.policy.routing;

import java.util.List;
import java.util.Optional;

/** Chooses upstreams from this entry's own accounting. Not thread safe; the caller serialises access. */
public interface Router {
    /** Installs the upstreams that take new work; accounting of those that remain is kept. */
    void updateUpstreams(List<RoutableUpstream> upstreams, long nowMillis);

    /**
     * Chooses a route and accounts the request to it under the attempt id, or returns empty when no upstream has room.
     */
    Optional<RoutingDecision> choose(String attemptId, RoutingRequest request, long nowMillis);

    /** Notes the first token of an attempt. */
    void onFirstToken(String attemptId, long nowMillis);

    /** Notes tokens generated for an attempt. */
    void onTokens(String attemptId, int tokens, long nowMillis);

    /** Notes the end of an attempt and removes it from the accounting. */
    void onFinished(String attemptId, AttemptOutcome outcome, long nowMillis);

    /** Corrects the accounting with a lagging report of an upstream. */
    void onLoadReport(String upstreamId, int running, int queued, long nowMillis);
}
