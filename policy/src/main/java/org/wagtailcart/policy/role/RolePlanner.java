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
 * Planner of role changes between prefill, decode and mixed. A change is planned once it has been worthwhile without
 * interruption for the sustain time, by both a fast and a slow average of the demand. Not thread safe.
 */
public final class RolePlanner {
    /** Share of the fleet that may be out of service at once; further role changes wait. */
    private static final double MAX_OUT_OF_SERVICE_SHARE = 0.16;

    private static final double FAST_AVERAGE_MILLIS = 8_000;
    private static final double SLOW_AVERAGE_MILLIS = 30_000;

    /** Minimum gain in the served share of the demand; a smaller gain is within the error of the rates. */
    private static final double MIN_GAIN = 0.03;

    /** Cost of one role change at equal weights, in seconds of the fleet's goodput. */
    private static final double CHANGE_COST_SECONDS = 2;

    private final RoleOptions options;
    private final DemandAverage fast = new DemandAverage(FAST_AVERAGE_MILLIS);
    private final DemandAverage slow = new DemandAverage(SLOW_AVERAGE_MILLIS);
    private @Nullable Transition candidate;
    private long candidateSinceMillis;

    public RolePlanner(RoleOptions options) {
        this.options = options;
    }

    /**
     * Returns the role changes to start now.
     *
     * @param engines every engine of one model whose role may change
     * @param demand demand since the last call
     */
    public List<RoleChange> plan(List<EngineObservation> engines, Demand demand, long nowMillis) {
        fast.add(demand, nowMillis);
        slow.add(demand, nowMillis);
        RoleCounts counts = RoleCounts.of(engines.stream()
                .filter(EngineObservation::reachable)
                .map(EngineObservation::role)
                .toList());
        Optional<Transition> best = bestTransition(counts);
        if (best.isEmpty() || !best.get().equals(candidate)) {
            candidate = best.orElse(null);
            candidateSinceMillis = nowMillis;
        }
        boolean sustained = nowMillis - candidateSinceMillis >= options.sustainMillis();
        return best.isPresent() && sustained ? roleChanges(engines, counts, best.get()) : List.of();
    }

    private List<RoleChange> roleChanges(List<EngineObservation> engines, RoleCounts counts, Transition transition) {
        List<EngineObservation> candidates = engines.stream()
                .filter(engine -> engine.inService() && engine.role() == transition.from())
                .sorted(Comparator.comparingInt(EngineObservation::running)
                        .thenComparing(EngineObservation::upstreamId))
                .toList();
        int outOfService =
                (int) engines.stream().filter(engine -> !engine.inService()).count();
        List<RoleChange> changes = new ArrayList<>();
        RoleCounts planned = counts;
        for (EngineObservation donor : candidates) {
            boolean first = changes.isEmpty();
            if (!canReleaseEngine(engines, planned, transition, outOfService)
                    || !(first || worthwhile(planned, transition))) {
                break;
            }
            changes.add(new RoleChange(donor.upstreamId(), transition.from(), transition.to()));
            planned = planned.plus(transition.from(), -1).plus(transition.to(), 1);
            outOfService++;
        }
        return changes;
    }

    /** Returns whether one more engine may go out of service with at least one other engine still serving its role. */
    private boolean canReleaseEngine(
            List<EngineObservation> engines, RoleCounts counts, Transition transition, int outOfService) {
        int maxOutOfService = Math.max(1, (int) (MAX_OUT_OF_SERVICE_SHARE * engines.size()));
        int serving = (int) engines.stream()
                .filter(engine -> engine.inService() && engine.role() == transition.from())
                .count();
        return outOfService < maxOutOfService && counts.of(transition.from()) > 1 && serving > 1;
    }

    private Optional<Transition> bestTransition(RoleCounts counts) {
        return Stream.of(EngineRole.values())
                .filter(from -> counts.of(from) > 1)
                .flatMap(from ->
                        Stream.of(EngineRole.values()).filter(to -> to != from).map(to -> new Transition(from, to)))
                .filter(transition -> worthwhile(counts, transition))
                .max(Comparator.comparingDouble(transition -> gain(counts, transition, fast)));
    }

    private boolean worthwhile(RoleCounts counts, Transition transition) {
        return exceedsCost(gain(counts, transition, fast)) && exceedsCost(gain(counts, transition, slow));
    }

    private boolean exceedsCost(double gain) {
        double benefit = options.goodputWeight() * gain * options.horizonMillis() / 1_000;
        double cost = options.roleChangeWeight() * CHANGE_COST_SECONDS;
        return gain >= MIN_GAIN && benefit > cost;
    }

    /** Returns the additional share of the demand that is served in time after a transition. */
    private double gain(RoleCounts counts, Transition transition, DemandAverage average) {
        Demand demand = average.value();
        RoleCounts after = counts.plus(transition.from(), -1).plus(transition.to(), 1);
        return servedShare(after, demand) - servedShare(counts, demand);
    }

    private double servedShare(RoleCounts counts, Demand demand) {
        return Math.min(1, options.targetUtilization() / Math.max(1e-9, counts.utilization(demand, options)));
    }

    private record Transition(EngineRole from, EngineRole to) {
        private Transition {
            Objects.requireNonNull(from, "from");
            Objects.requireNonNull(to, "to");
        }
    }
}
