package org.wagtailcart.policy.routing;

/**
 * Constants of the load-aware router.
 *
 * @param promptTokenCost cost of a prompt token in units of one output token
 * @param reportTrustMillis age at which a load report says nothing any more
 * @param prefixHints prefix blocks remembered
 * @param firstTokenWeight weight of prompt work that waits ahead, against output work that shares the batch
 */
public record RouterOptions(double promptTokenCost, long reportTrustMillis, int prefixHints, double firstTokenWeight) {
    /**
     * Returns the defaults. A prompt token costs about a tenth of an output token: an engine takes prompts at several
     * thousand tokens a second and generates several hundred. A report older than 3 s is older than most output.
     */
    public static RouterOptions defaults() {
        return new RouterOptions(0.1, 3_000, 65_536, 1.0);
    }
}
