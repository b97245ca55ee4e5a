package org.wagtailcart.policy.routing;

import org.wagtailcart.policy.health.HealthOptions;
import org.wagtailcart.policy.health.HealthPolicy;

/**
 * Options of {@link LoadAwareRouter}.
 *
 * @param promptTokenCost cost of a prompt token in units of one output token
 * @param reportMaxAgeMillis age at which a load report is ignored
 * @param maxPrefixHints maximum number of prefix blocks in the hint map
 * @param promptWorkWeight weight of queued prompt work relative to output work, which shares the batch
 * @param refusalDelayMillis time for which an upstream that refused a request gets no new one
 * @param healthPolicy policy for failing upstreams
 * @param healthOptions options of that policy
 */
public record RouterOptions(
        double promptTokenCost,
        long reportMaxAgeMillis,
        int maxPrefixHints,
        double promptWorkWeight,
        long refusalDelayMillis,
        HealthPolicy healthPolicy,
        HealthOptions healthOptions) {
    /**
     * Returns the defaults. A prompt token costs about a tenth of an output token: an engine prefills several thousand
     * tokens a second and decodes several hundred. A report is ignored after 3 s, when it is older than most output.
     */
    public static RouterOptions defaults() {
        return new RouterOptions(0.1, 3_000, 65_536, 1.0, 250, HealthPolicy.EJECTION, HealthOptions.defaults());
    }

    /** Returns these options with another policy for failing upstreams. */
    public RouterOptions withHealth(HealthPolicy policy) {
        return new RouterOptions(
                promptTokenCost,
                reportMaxAgeMillis,
                maxPrefixHints,
                promptWorkWeight,
                refusalDelayMillis,
                policy,
                healthOptions);
    }
}
