package org.wagtailcart.policy.power;

/**
 * Options of {@link PowerController}.
 *
 * @param initialAllowance engines that may run above the soft limit before the first probe
 * @param grantMillis validity of a grant
 * @param probeIntervalMillis time between probes below the ceiling, the lowest allowance that led to an overload
 * @param initialCeilingRetryMillis time until the ceiling is probed again; doubles with each failure
 * @param maxCeilingRetryMillis upper bound of that time
 * @param settleMillis time for which reports still describe the state before a change of the allowance
 * @param slowdownRatio ratio of actual to expected token interval above which an engine counts as throttled
 * @param failureWindowMillis time within which failures count as correlated
 */
public record PowerOptions(
        int initialAllowance,
        long grantMillis,
        long probeIntervalMillis,
        long initialCeilingRetryMillis,
        long maxCeilingRetryMillis,
        long settleMillis,
        double slowdownRatio,
        long failureWindowMillis) {
    /**
     * Returns the defaults. A grant outlives two lost syncs, which are 1 s apart. A failed probe of the ceiling spends
     * about 3 s above the power limit, and the target allows 2% of the time.
     */
    public static PowerOptions defaults() {
        return new PowerOptions(3, 3_000, 4_000, 150_000, 1_200_000, 4_000, 1.2, 3_000);
    }
}
