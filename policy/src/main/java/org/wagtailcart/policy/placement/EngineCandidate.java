package org.wagtailcart.policy.placement;

/**
 * State of an engine as a candidate for the placement of a request.
 *
 * @param id identity
 * @param failureDomain where it runs
 * @param prefillRole whether it is in the prefill role; otherwise it is in the decode role
 * @param slots requests that it runs at once
 * @param inFlight in-flight requests, of all gateways
 * @param queuedTokens prompt tokens in its prefill queue, of all gateways
 * @param cachedTokens tokens of this prompt that it is estimated to have cached
 * @param slowdown execution time relative to its peers, 1 when it is as fast as they are
 * @param startDelayMillis delay beyond the usual at the start of streams that it decodes or whose prompt it prefilled
 */
public record EngineCandidate(
        String id,
        String failureDomain,
        boolean prefillRole,
        int slots,
        int inFlight,
        long queuedTokens,
        int cachedTokens,
        double slowdown,
        double startDelayMillis) {}
