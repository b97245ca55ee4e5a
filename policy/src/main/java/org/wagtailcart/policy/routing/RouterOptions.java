package org.wagtailcart.policy.routing;

import org.wagtailcart.policy.health.HealthOptions;
import org.wagtailcart.policy.health.HealthPolicy;

/**
 * Constants of the load-aware router.
 *
 * @param promptTokenCost cost of a prompt token in units of one output token
 * @param reportMaxAgeMillis age at which a load report says nothing any more
 * @param maxPrefixHints prefix blocks remembered
 * @param promptWorkWeight weight of prompt work that waits ahead, against output work that shares the batch
 * @param refusalPauseMillis time without new work for an upstream that refused
 * @param healthPolicy how failing upstreams are treated
 * @param healthOptions constants of that treatment
 */
public record RouterOptions(
        double promptTokenCost,
        long reportMaxAgeMillis,
        int maxPrefixHints,
        double promptWorkWeight,
        long refusalPauseMillis,
        HealthPolicy healthPolicy,
        HealthOptions healthOptions) {
    /**
     * Returns the defaults. A prompt token costs about a tenth of an output token: an engine takes prompts at several
     * thousand tokens a second and generates several hundred. A report older than 3 s is older than most output.
     */
    public static RouterOptions defaults() {
        return new RouterOptions(0.1, 3_000, 65_536, 1.0, 250, HealthPolicy.EJECTION, HealthOptions.defaults());
    }

    /** Returns these options with another treatment of failing upstreams. */
    public RouterOptions withHealth(HealthPolicy policy) {
        return new RouterOptions(
                promptTokenCost,
                reportMaxAgeMillis,
                maxPrefixHints,
                promptWorkWeight,
                refusalPauseMillis,
                policy,
                healthOptions);
    }
}
