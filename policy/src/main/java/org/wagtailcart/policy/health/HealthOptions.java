package org.wagtailcart.policy.health;

/**
 * Constants of outlier ejection.
 *
 * @param consecutiveFailures failures in a row that take an upstream out
 * @param windowSize outcomes over which the failure share is judged
 * @param failureRatio share of failures in a full window that takes an upstream out
 * @param initialCooldownMillis time out of service after the first time
 * @param maxCooldownMillis bound of the doubling cooldown
 */
public record HealthOptions(
        int consecutiveFailures,
        int windowSize,
        double failureRatio,
        long initialCooldownMillis,
        long maxCooldownMillis) {
    /** Returns the defaults: a window of 20 tells a failure share of 50% from one of 10% in nearly all draws. */
    public static HealthOptions defaults() {
        return new HealthOptions(3, 20, 0.5, 2_000, 30_000);
    }
}
