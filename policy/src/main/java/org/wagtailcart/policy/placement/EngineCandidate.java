package org.wagtailcart.policy.placement;

/**
 * What is known of an engine when a request is placed.
 *
 * @param id identity
 * @param failureDomain where it runs
 * @param prefillRole whether it reads prompts for others; otherwise it generates
 * @param slots requests that it runs at once
 * @param inFlight requests in flight there, of all gateways
 * @param queuedTokens prompt tokens that it still has to read, of all gateways
 * @param cachedTokens tokens of this prompt that it is believed to hold
 * @param slowdown time that it takes relative to its peers, 1 when it is like them
 * @param startDelayMillis time by which streams that it generates, or whose prompt it read, start later than usual
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
