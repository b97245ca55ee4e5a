package org.wagtailcart.policy.role;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.policy.EngineObservation;

/**
 * Decides which engines change their role. A move is planned once it has looked worthwhile for both a fast and a slow
 * average of the demand, without a break, for the sustain time. Not thread safe.
 */
public final class RolePlanner {
    /** Engines away at once beyond which a move waits, as a share of the fleet. */
    private static final double MAX_AWAY_SHARE = 0.16;

    private static final double FAST_AVERAGE_MILLIS = 8_000;
    private static final double SLOW_AVERAGE_MILLIS = 30_000;

    /** Share of the demand that must be won; less is within the error of the rates. */
    private static final double MIN_GAIN = 0.03;

    /** Goodput seconds of the whole fleet that one role change is worth at equal weights. */
    private static final double CHANGE_COST_SECONDS = 2;

    private final RoleOptions options;
    private final DemandAverage fast = new DemandAverage(FAST_AVERAGE_MILLIS);
    private final DemandAverage slow = new DemandAverage(SLOW_AVERAGE_MILLIS);
    private @Nullable Shift candidate;
    private long candidateSinceMillis;

    public RolePlanner(RoleOptions options) {
        this.options = options;
    }

    /**
     * Returns the moves to start now.
     *
     * @param engines every engine of one model whose role may change
     * @param demand demand since the last call
     */
    public List<RoleMove> plan(List<EngineObservation> engines, Demand demand, long nowMillis) {
        fast.add(demand, nowMillis);
        slow.add(demand, nowMillis);
        RoleCounts counts = RoleCounts.of(engines.stream()
                .filter(EngineObservation::reachable)
                .map(EngineObservation::role)
                .toList());
        Optional<Shift> best = bestShift(counts);
        if (best.isEmpty() || !best.get().equals(candidate)) {
            candidate = best.orElse(null);
            candidateSinceMillis = nowMillis;
        }
        boolean sustained = nowMillis - candidateSinceMillis >= options.sustainMillis();
        return best.isPresent() && sustained ? moves(engines, counts, best.get()) : List.of();
    }

    private List<RoleMove> moves(List<EngineObservation> engines, RoleCounts counts, Shift shift) {
        List<EngineObservation> donors = engines.stream()
                .filter(engine -> engine.inService() && engine.role() == shift.from())
                .sorted(Comparator.comparingInt(EngineObservation::running)
                        .thenComparing(EngineObservation::upstreamId))
                .toList();
        int away = (int) engines.stream().filter(engine -> !engine.inService()).count();
        List<RoleMove> moves = new ArrayList<>();
        RoleCounts planned = counts;
        for (EngineObservation donor : donors) {
            boolean first = moves.isEmpty();
            if (!mayLeave(engines, planned, shift, away) || !(first || worthwhile(planned, shift))) {
                break;
            }
            moves.add(new RoleMove(donor.upstreamId(), shift.from(), shift.to()));
            planned = planned.plus(shift.from(), -1).plus(shift.to(), 1);
            away++;
        }
        return moves;
    }

    /** Returns whether one more engine may be away and the engines left in its role still carry their load. */
    private boolean mayLeave(List<EngineObservation> engines, RoleCounts counts, Shift shift, int away) {
        int allowedAway = Math.max(1, (int) (MAX_AWAY_SHARE * engines.size()));
        int serving = (int) engines.stream()
                .filter(engine -> engine.inService() && engine.role() == shift.from())
                .count();
        return away < allowedAway && counts.of(shift.from()) > 1 && serving > 1;
    }

    private Optional<Shift> bestShift(RoleCounts counts) {
        return Stream.of(EngineRole.values())
                .filter(from -> counts.of(from) > 1)
                .flatMap(from ->
                        Stream.of(EngineRole.values()).filter(to -> to != from).map(to -> new Shift(from, to)))
                .filter(shift -> worthwhile(counts, shift))
                .max(Comparator.comparingDouble(shift -> gain(counts, shift, fast)));
    }

    private boolean worthwhile(RoleCounts counts, Shift shift) {
        return pays(gain(counts, shift, fast)) && pays(gain(counts, shift, slow));
    }

    private boolean pays(double gain) {
        double benefit = options.goodputWeight() * gain * options.horizonMillis() / 1_000;
        double cost = options.roleChangeWeight() * CHANGE_COST_SECONDS;
        return gain >= MIN_GAIN && benefit > cost;
    }

    /** Returns the additional share of the demand that is served in time after a shift. */
    private double gain(RoleCounts counts, Shift shift, DemandAverage average) {
        Demand demand = average.value();
        RoleCounts after = counts.plus(shift.from(), -1).plus(shift.to(), 1);
        return served(after, demand) - served(counts, demand);
    }

    private double served(RoleCounts counts, Demand demand) {
        return Math.min(1, options.targetUtilization() / Math.max(1e-9, counts.utilization(demand, options)));
    }

    private record Shift(EngineRole from, EngineRole to) {
        private Shift {
            Objects.requireNonNull(from, "from");
            Objects.requireNonNull(to, "to");
        }
    }
}
