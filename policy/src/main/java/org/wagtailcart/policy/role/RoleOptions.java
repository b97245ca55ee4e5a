package org.wagtailcart.policy.role;

/**
 * Options of {@link RolePlanner}.
 *
 * @param goodputWeight weight of goodput (setting {@code goodput-weight})
 * @param roleChangeWeight weight of avoided role changes (setting {@code role-change-weight})
 * @param prefillTokensPerSecond rate of prompt tokens that a prefill engine processes
 * @param decodeTokensPerSecond rate of output tokens that a decode engine produces
 * @param mixedEfficiency share of these rates that a mixed engine reaches in each stage
 * @param targetUtilization utilization above which requests are no longer served in time
 * @param sustainMillis time for which a role change must be worthwhile without interruption
 * @param horizonMillis time over which the gain of a role change must exceed its cost
 */
public record RoleOptions(
        double goodputWeight,
        double roleChangeWeight,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        double mixedEfficiency,
        double targetUtilization,
        long sustainMillis,
        long horizonMillis) {
    /** Returns the defaults for engines of the given rates, with equal weights. */
    public static RoleOptions defaults(double prefillTokensPerSecond, double decodeTokensPerSecond) {
        return new RoleOptions(1, 1, prefillTokensPerSecond, decodeTokensPerSecond, 0.75, 0.95, 30_000, 300_000);
    }

    /** Returns these options with the weights from the settings. */
    public RoleOptions withWeights(double goodput, double roleChange) {
        return new RoleOptions(
                goodput,
                roleChange,
                prefillTokensPerSecond,
                decodeTokensPerSecond,
                mixedEfficiency,
                targetUtilization,
                sustainMillis,
                horizonMillis);
    }
}
