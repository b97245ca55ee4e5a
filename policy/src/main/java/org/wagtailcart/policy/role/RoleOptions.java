package org.wagtailcart.policy.role;

/**
 * Constants of the role planner.
 *
 * @param goodputWeight weight of goodput (setting {@code goodput-weight})
 * @param roleChangeWeight weight of avoided role changes (setting {@code role-change-weight})
 * @param prefillTokensPerSecond prompt tokens a prefill engine processes
 * @param decodeTokensPerSecond output tokens a decode engine generates
 * @param mixedEfficiency share of these rates that a mixed engine reaches on each kind of work
 * @param targetUtilization utilization above which latency suffers
 * @param sustainMillis time for which a move must look worthwhile without a break
 * @param horizonMillis time over which a move must pay off
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
    /** Returns defaults for engines of the given rates with equal weights. */
    public static RoleOptions defaults(double prefillTokensPerSecond, double decodeTokensPerSecond) {
        return new RoleOptions(1, 1, prefillTokensPerSecond, decodeTokensPerSecond, 0.75, 0.95, 30_000, 300_000);
    }

    /** Returns these options with the users' weights. */
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
