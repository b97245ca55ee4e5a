package org.wagtailcart.policy.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the upstreams of attempts from this entry's own accounting of their load. Not thread safe; the caller
 * serializes access.
 */
public interface Router {
    /** Replaces the list of upstreams that accept new requests; keeps the accounting of those that remain. */
    void updateUpstreams(List<RoutableUpstream> upstreams, long nowMillis);

    /**
     * Chooses upstreams for a request and accounts its load to them under the attempt id. Returns empty when no
     * upstream has capacity.
     *
     * @throws IllegalArgumentException when the attempt is already routed
     */
    Optional<RoutingDecision> choose(String attemptId, RoutingRequest request, long nowMillis);

    /** Records the first token of an attempt, which ends its prefill. */
    void onFirstToken(String attemptId, long nowMillis);

    /** Records output tokens decoded for an attempt. */
    void onTokens(String attemptId, int tokens, long nowMillis);

    /** Records the outcome of an attempt and removes it from the accounting. */
    void onFinished(String attemptId, AttemptOutcome outcome, long nowMillis);

    /** Updates the load that other entries put on an upstream from its report, which lags. */
    void onLoadReport(String upstreamId, int running, int queued, long nowMillis);
}
