package org.wagtailcart.policy.role;

import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.wagtailcart.common.EngineRole;

/** Number of engines in each role. */
public record RoleCounts(int prefill, int decode, int mixed) {
    /** Counts the engines in each role, given the role of every engine. */
    public static RoleCounts of(Collection<EngineRole> roles) {
        Map<EngineRole, Integer> counts = new EnumMap<>(EngineRole.class);
        Stream.of(EngineRole.values()).forEach(role -> counts.put(role, 0));
        roles.forEach(role -> counts.merge(role, 1, Integer::sum));
        return new RoleCounts(
                counts.getOrDefault(EngineRole.PREFILL, 0),
                counts.getOrDefault(EngineRole.DECODE, 0),
                counts.getOrDefault(EngineRole.MIXED, 0));
    }

    /**
     * Returns the counts with the lowest utilization for a demand: all engines mixed, or split between prefill and
     * decode. Ties go to mixed, then to the fewest prefill engines. Each side of a split has at least two engines, so
     * that the loss of one leaves its stage served.
     */
    public static RoleCounts best(int engines, Demand demand, RoleOptions options) {
        Stream<RoleCounts> split = IntStream.rangeClosed(2, engines - 2)
                .mapToObj(prefill -> new RoleCounts(prefill, engines - prefill, 0));
        return Stream.concat(Stream.of(new RoleCounts(0, 0, engines)), split)
                .min(Comparator.comparingDouble(counts -> counts.utilization(demand, options)))
                .orElseThrow();
    }

    /** Returns the number of engines in a role. */
    public int of(EngineRole role) {
        return switch (role) {
            case PREFILL -> prefill;
            case DECODE -> decode;
            case MIXED -> mixed;
        };
    }

    /** Returns these counts with the count of one role changed by the given number. */
    public RoleCounts plus(EngineRole role, int change) {
        return new RoleCounts(
                prefill + (role == EngineRole.PREFILL ? change : 0),
                decode + (role == EngineRole.DECODE ? change : 0),
                mixed + (role == EngineRole.MIXED ? change : 0));
    }

    /**
     * Returns the utilization at which these engines serve the demand, with mixed engines assigned to the scarcer
     * stage. Infinite when it would exceed 64, as when a stage with demand has no engine.
     */
    public double utilization(Demand demand, RoleOptions options) {
        double low = 0;
        double high = 64;
        if (!canServe(demand, options, high)) {
            return Double.POSITIVE_INFINITY;
        }
        // 24 bisections of the range 0 to 64 resolve the utilization to 4e-6.
        for (int i = 0; i < 24; i++) {
            double midpoint = (low + high) / 2;
            if (canServe(demand, options, midpoint)) {
                high = midpoint;
            } else {
                low = midpoint;
            }
        }
        return high;
    }

    private boolean canServe(Demand demand, RoleOptions options, double utilization) {
        double prompt = demand.promptTokensPerSecond() / utilization / options.prefillTokensPerSecond();
        double output = demand.outputTokensPerSecond() / utilization / options.decodeTokensPerSecond();
        double mixedNeeded = (Math.max(0, prompt - prefill) + Math.max(0, output - decode)) / options.mixedEfficiency();
        return mixedNeeded <= mixed;
    }
}
