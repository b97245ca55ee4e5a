package org.wagtailcart.policy.power;

/**
 * Constants of the power controller.
 *
 * @param initialAllowance engines that may run hard before anything is learned
 * @param grantMillis validity of a grant
 * @param probeMillis time between steps up below the lowest count known to be too high
 * @param initialCeilingRetryMillis time until a count known to be too high is tried again; doubles with each failure
 * @param maxCeilingRetryMillis bound of that doubling
 * @param settleMillis time after a step in which reports still describe the state before it
 * @param slowdownRatio token interval, relative to what the batch size explains, that means throttling
 * @param failureWindowMillis time within which failures count as together
 */
public record PowerOptions(
        int initialAllowance,
        long grantMillis,
        long probeMillis,
        long initialCeilingRetryMillis,
        long maxCeilingRetryMillis,
        long settleMillis,
        double slowdownRatio,
        long failureWindowMillis) {
    /**
     * Returns the defaults. A grant outlives two lost syncs of 1 s. A failed retry of the ceiling costs about 3 s above
     * the limit, and the target allows 2% of the time.
     */
    public static PowerOptions defaults() {
        return new PowerOptions(3, 3_000, 4_000, 150_000, 1_200_000, 4_000, 1.2, 3_000);
    }
}
