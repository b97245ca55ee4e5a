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
 * @param speed prefill rate relative to that of its service
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
        double startDelayMillis,
        double speed) {
    /** Creates a candidate with the prefill rate of its service. */
    public EngineCandidate(
            String id,
            String failureDomain,
            boolean prefillRole,
            int slots,
            int inFlight,
            long queuedTokens,
            int cachedTokens,
            double slowdown,
            double startDelayMillis) {
        this(
                id,
                failureDomain,
                prefillRole,
                slots,
                inFlight,
                queuedTokens,
                cachedTokens,
                slowdown,
                startDelayMillis,
                1);
    }

    /** Returns the prompt tokens that it prefills in a millisecond, in its role and without a slowdown. */
    double tokensPerMilli(PromptPlacement.EngineRates rates) {
        return rates.prefillTokensPerMilli() * speed * (prefillRole ? 1 : PromptPlacement.DECODE_PREFILL_SPEED_RATIO);
    }
}
