package org.wagtailcart.policy.role;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.wagtailcart.common.EngineRole;

/**
 * Decides how many engines of a service read prompts for the others. Before traffic all engines may change at once;
 * afterwards one at a time, and only when the share has been wrong for long. An engine that has just appeared, or was
 * started anew, holds nothing yet and may change at once.
 */
public final class PrefillRatioPlanner {
    /** Share of the engines in the prefill role; prompts dominate the work while outputs are short. */
    static final double PREFILL_RATIO = 0.77;

    /** A share that is off by fewer engines than this is left alone once callers are served. */
    static final int TOLERATED_ENGINES = 2;

    /** A share must be wrong for this long before an engine is moved under traffic. */
    static final long MIN_IMBALANCE_MILLIS = 5_000;

    /** Before traffic, the list must stay the same for this long. */
    static final long SETTLE_MILLIS = 2_000;

    /** Time for which an engine counts as new. */
    static final long NEW_ENGINE_MILLIS = 3_000;

    private static final long NOT_IMBALANCED = Long.MAX_VALUE;

    /** Engine as it was seen first in its present role. */
    private record FirstSeen(boolean prefill, long atMillis) {}

    private final Map<String, FirstSeen> firstSeenById = new HashMap<>();

    private long imbalancedSinceMillis = NOT_IMBALANCED;
    private long listChangedAtMillis;

    /**
     * An engine as the host list shows it.
     *
     * @param id identity
     * @param failureDomain where it runs
     * @param prefill whether it reads prompts for others
     * @param changing whether an order to take the other role is on its way to it
     */
    public record Engine(String id, String failureDomain, boolean prefill, boolean changing) {}

    /**
     * A change of role.
     *
     * @param engineId the engine
     * @param role its new role
     */
    public record RatioChange(String engineId, EngineRole role) {}

    /** Returns the number of engines that should be in the prefill role. */
    static int targetPrefillCount(int engines) {
        if (engines < 2) {
            return 0;
        }
        return Math.max(1, Math.min(engines - 1, (int) Math.round(engines * PREFILL_RATIO)));
    }

    /**
     * Returns the moves to order now.
     *
     * @param servingTraffic whether callers are being served
     */
    public List<RatioChange> plan(List<Engine> engines, boolean servingTraffic, long nowMillis) {
        recordEngines(engines, nowMillis);
        int shortfall = targetPrefillCount(engines.size()) - plannedPrefillCount(engines);
        boolean imbalanced = shortfall != 0 && (!servingTraffic || Math.abs(shortfall) >= TOLERATED_ENGINES);
        imbalancedSinceMillis = imbalanced ? Math.min(imbalancedSinceMillis, nowMillis) : NOT_IMBALANCED;
        Optional<RatioChange> newEngineChange = servingTraffic && shortfall != 0
                ? newEngineChange(engines, shortfall > 0, nowMillis)
                : Optional.empty();
        if (newEngineChange.isPresent()) {
            return List.of(newEngineChange.get());
        }
        // At the start of a system engines appear one after another.
        boolean settling = !servingTraffic && nowMillis - listChangedAtMillis < SETTLE_MILLIS;
        if (!imbalanced || settling) {
            return List.of();
        }
        boolean oneIsChanging = engines.stream().anyMatch(Engine::changing);
        if (servingTraffic && (oneIsChanging || nowMillis - imbalancedSinceMillis < MIN_IMBALANCE_MILLIS)) {
            return List.of();
        }
        int count = servingTraffic ? 1 : Math.abs(shortfall);
        return candidates(engines, shortfall > 0).limit(count).toList();
    }

    /** Engines in the prefill role once the orders on their way are carried out; an order turns the role around. */
    private static int plannedPrefillCount(List<Engine> engines) {
        return (int) engines.stream()
                .filter(engine -> engine.prefill() != engine.changing())
                .count();
    }

    private void recordEngines(List<Engine> engines, long nowMillis) {
        Set<String> ids = engines.stream().map(Engine::id).collect(Collectors.toSet());
        if (!ids.equals(firstSeenById.keySet())) {
            listChangedAtMillis = nowMillis;
        }
        firstSeenById.keySet().retainAll(ids);
        engines.forEach(engine -> {
            FirstSeen seen = firstSeenById.get(engine.id());
            if (seen == null || seen.prefill() != engine.prefill()) {
                firstSeenById.put(engine.id(), new FirstSeen(engine.prefill(), nowMillis));
            }
        });
    }

    private Optional<RatioChange> newEngineChange(List<Engine> engines, boolean toPrefill, long nowMillis) {
        return engines.stream()
                .filter(engine -> engine.prefill() != toPrefill && !engine.changing())
                .filter(engine -> isNew(engine, nowMillis))
                .min(Comparator.comparing(Engine::id))
                .map(engine -> new RatioChange(engine.id(), toPrefill ? EngineRole.PREFILL : EngineRole.DECODE));
    }

    private boolean isNew(Engine engine, long nowMillis) {
        FirstSeen seen = firstSeenById.get(engine.id());
        return seen != null && nowMillis - seen.atMillis() <= NEW_ENGINE_MILLIS;
    }

    /** Engines to move, those first whose failure domain has most engines in the role that they leave. */
    private static Stream<RatioChange> candidates(List<Engine> engines, boolean toPrefill) {
        Map<String, List<Engine>> byDomain = engines.stream()
                .filter(engine -> engine.prefill() != toPrefill)
                .sorted(Comparator.comparing(Engine::id))
                .collect(Collectors.groupingBy(Engine::failureDomain));
        return byDomain.values().stream()
                .flatMap(domain -> Stream.iterate(0, i -> i < domain.size(), i -> i + 1)
                        .map(i -> new RankedEngine(domain.size() - i, domain.get(i))))
                .filter(ranked -> !ranked.engine().changing())
                .sorted(Comparator.comparing((RankedEngine ranked) -> -ranked.sameRoleInDomain())
                        .thenComparing(ranked -> ranked.engine().id()))
                .map(ranked ->
                        new RatioChange(ranked.engine().id(), toPrefill ? EngineRole.PREFILL : EngineRole.DECODE));
    }

    private record RankedEngine(int sameRoleInDomain, Engine engine) {}
}
