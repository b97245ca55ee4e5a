package org.wagtailcart.policy.health;

/**
 * Options of outlier ejection.
 *
 * @param consecutiveFailures failures in a row that eject an upstream
 * @param windowSize outcomes over which the failure ratio is computed
 * @param failureRatio share of failures in a full window that ejects an upstream
 * @param initialCooldownMillis duration of the first ejection
 * @param maxCooldownMillis upper bound of the cooldown, which doubles with each ejection in a row
 */
public record HealthOptions(
        int consecutiveFailures,
        int windowSize,
        double failureRatio,
        long initialCooldownMillis,
        long maxCooldownMillis) {
    /** Returns the defaults: a window of 20 separates a failure ratio of 50% from one of 10% in nearly all samples. */
    public static HealthOptions defaults() {
        return new HealthOptions(3, 20, 0.5, 2_000, 30_000);
    }
}
