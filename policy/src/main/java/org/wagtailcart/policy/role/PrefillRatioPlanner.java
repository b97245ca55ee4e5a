package org.wagtailcart.policy.role;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.EngineRole;

/**
 * Planner that keeps a share of a service's engines in the prefill role, which depends on their slots. Before traffic
 * all engines may change at once. Under traffic one changes at a time, only after a sustained imbalance, and a fast and
 * a slow engine rarely swap their roles. An engine that has just appeared or restarted has an empty cache and may change
 * at once.
 */
public final class PrefillRatioPlanner {
    /**
     * Outputs that decode at the same time for each engine that prefills. Engines with fewer slots than others need a
     * larger share of the fleet in the decode role.
     */
    static final double OUTPUTS_PER_PREFILL_ENGINE = 19.1;

    /** Deviation from the target, in engines, from which the ratio is corrected under traffic. */
    static final int MIN_DEVIATION_ENGINES = 2;

    /** Duration of an imbalance before an engine changes its role under traffic. */
    static final long MIN_IMBALANCE_MILLIS = 5_000;

    /** Time for which the host list must be unchanged before roles are assigned ahead of traffic. */
    static final long SETTLE_MILLIS = 2_000;

    /** Time for which an engine counts as new, after it appeared or changed its role. */
    static final long NEW_ENGINE_MILLIS = 3_000;

    /** Time between two swaps of roles; a swap is rare, so that its effect shows before the next one. */
    static final long MIN_SWAP_INTERVAL_MILLIS = 60_000;

    /** Time within which a swap must gain what it costs; engines are often replaced after minutes. */
    static final double SWAP_HORIZON_MILLIS = 60_000;

    /** Work lost by each engine of a swap: 3 s for the change of role and 10 s to prefill its KV cache again. */
    static final double SWAP_COST_MILLIS = 13_000;

    /** Decode engines needed for a swap, since one of them is out of service while it changes its role. */
    static final int MIN_DECODE_ENGINES_FOR_SWAP = 3;

    /** Time after which a swap is checked; an order without a reply may still be executed for 15 s. */
    static final long SWAP_CHECK_MILLIS = 15_000;

    private static final long NO_SWAP_MILLIS = Long.MIN_VALUE / 4;

    private static final long NOT_IMBALANCED = Long.MAX_VALUE;

    /** Role of an engine and the time of its first observation in that role. */
    private record FirstSeen(boolean prefill, long atMillis) {}

    private final Map<String, FirstSeen> firstSeenById = new HashMap<>();

    private long imbalancedSinceMillis = NOT_IMBALANCED;
    private long listChangedAtMillis;
    private long swappedAtMillis = NO_SWAP_MILLIS;
    private @Nullable PendingSwap pendingSwap;

    /**
     * Swap whose orders may have failed.
     *
     * @param slowId engine that leaves the prefill role
     * @param fastId engine that takes the prefill role
     * @param undo whether both are to have their former roles again
     * @param checkAtMillis time at which the roles of both show which orders had an effect
     */
    private record PendingSwap(String slowId, String fastId, boolean undo, long checkAtMillis) {
        boolean contains(Engine engine) {
            return engine.id().equals(slowId) || engine.id().equals(fastId);
        }

        /** Returns whether an engine of the swap is to be in the prefill role. */
        boolean plansPrefill(Engine engine) {
            return engine.id().equals(fastId) != undo;
        }
    }

    /**
     * State of an engine in the host list.
     *
     * @param id identity
     * @param failureDomain where it runs
     * @param prefill whether it is in the prefill role
     * @param changing whether an order to change its role is pending
     * @param speed prefill rate relative to that of its service
     */
    public record Engine(String id, String failureDomain, boolean prefill, boolean changing, double speed) {
        /** Creates an engine with the prefill rate of its service. */
        public Engine(String id, String failureDomain, boolean prefill, boolean changing) {
            this(id, failureDomain, prefill, changing, 1);
        }

        /** Returns the speed, negated if slow engines are to be preferred. */
        private double preference(boolean toPrefill) {
            return toPrefill ? speed : -speed;
        }
    }

    /**
     * Order for an engine to change its role.
     *
     * @param engineId the engine
     * @param role its new role
     */
    public record RatioChange(String engineId, EngineRole role) {}

    /**
     * Returns the number of engines that should be in the prefill role.
     *
     * @param slots requests that an engine runs at once
     */
    static int targetPrefillCount(int engines, int slots) {
        if (engines < 2) {
            return 0;
        }
        double prefillRatio = slots / (slots + OUTPUTS_PER_PREFILL_ENGINE);
        return Math.max(1, Math.min(engines - 1, (int) Math.round(engines * prefillRatio)));
    }

    /**
     * Returns the role changes to order now.
     *
     * @param slots requests that an engine runs at once
     * @param servingTraffic whether the service has traffic
     */
    public List<RatioChange> plan(List<Engine> engines, int slots, boolean servingTraffic, long nowMillis) {
        recordEngines(engines, nowMillis);
        PendingSwap pending = pendingSwap;
        if (pending != null && nowMillis >= pending.checkAtMillis()) {
            return checkSwap(pending, engines, nowMillis);
        }
        int shortfall = targetPrefillCount(engines.size(), slots) - plannedPrefillCount(engines, pending);
        boolean imbalanced = shortfall != 0 && (!servingTraffic || Math.abs(shortfall) >= MIN_DEVIATION_ENGINES);
        imbalancedSinceMillis = imbalanced ? Math.min(imbalancedSinceMillis, nowMillis) : NOT_IMBALANCED;
        Optional<RatioChange> newEngineChange = servingTraffic && shortfall != 0
                ? newEngineChange(engines, shortfall > 0, nowMillis)
                : Optional.empty();
        if (newEngineChange.isPresent()) {
            return List.of(newEngineChange.get());
        }
        if (servingTraffic && !engines.isEmpty() && engines.stream().allMatch(Engine::prefill)) {
            return firstDecodeEngine(engines);
        }
        // At system start, engines appear one after another.
        boolean settling = !servingTraffic && nowMillis - listChangedAtMillis < SETTLE_MILLIS;
        if (servingTraffic && shortfall == 0) {
            return pending == null ? swap(engines, nowMillis) : List.of();
        }
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

    /** Returns the order for an engine to decode, since engines in the prefill role alone serve no request. */
    private List<RatioChange> firstDecodeEngine(List<Engine> engines) {
        return engines.stream().anyMatch(Engine::changing)
                ? List.of()
                : candidates(engines, false).limit(1).toList();
    }

    /**
     * Returns the orders for a fast decode engine and a slow prefill engine in the same domain to swap their roles, if
     * that pays; otherwise none.
     */
    private List<RatioChange> swap(List<Engine> engines, long nowMillis) {
        boolean allowed = nowMillis - swappedAtMillis >= MIN_SWAP_INTERVAL_MILLIS
                && engines.stream().noneMatch(Engine::changing)
                && engines.stream().filter(engine -> !engine.prefill()).count() >= MIN_DECODE_ENGINES_FOR_SWAP;
        if (!allowed) {
            return List.of();
        }
        Optional<Swap> best = engines.stream()
                .filter(engine -> !engine.prefill())
                .flatMap(fast -> engines.stream()
                        .filter(engine ->
                                engine.prefill() && engine.failureDomain().equals(fast.failureDomain()))
                        .map(slow -> new Swap(fast, slow)))
                .filter(Swap::pays)
                .max(Comparator.comparing(Swap::gainPerMilli)
                        .thenComparing(swap -> swap.fast().id())
                        .thenComparing(swap -> swap.slow().id()));
        if (best.isEmpty()) {
            return List.of();
        }
        String slowId = best.get().slow().id();
        String fastId = best.get().fast().id();
        swappedAtMillis = nowMillis;
        pendingSwap = new PendingSwap(slowId, fastId, false, nowMillis + SWAP_CHECK_MILLIS);
        return List.of(new RatioChange(slowId, EngineRole.DECODE), new RatioChange(fastId, EngineRole.PREFILL));
    }

    /**
     * Ends a swap by the roles that both engines have now, once no order for them is pending. If only one of them changed,
     * it is ordered back, and that order is checked too. If neither did, there is no pause before the next swap.
     */
    private List<RatioChange> checkSwap(PendingSwap pending, List<Engine> engines, long nowMillis) {
        Optional<Engine> slow = find(engines, pending.slowId());
        Optional<Engine> fast = find(engines, pending.fastId());
        if (Stream.of(slow, fast).flatMap(Optional::stream).anyMatch(Engine::changing)) {
            return List.of();
        }
        boolean slowChanged = slow.isPresent() && !slow.get().prefill();
        boolean fastChanged = fast.isPresent() && fast.get().prefill();
        boolean oneIsLost = slow.isEmpty() || fast.isEmpty();
        if (oneIsLost || slowChanged == fastChanged) {
            pendingSwap = null;
            boolean noneChanged = !oneIsLost && !slowChanged && !pending.undo();
            swappedAtMillis = noneChanged ? NO_SWAP_MILLIS : swappedAtMillis;
            return List.of();
        }
        pendingSwap = new PendingSwap(pending.slowId(), pending.fastId(), true, nowMillis + SWAP_CHECK_MILLIS);
        return List.of(
                slowChanged
                        ? new RatioChange(pending.slowId(), EngineRole.PREFILL)
                        : new RatioChange(pending.fastId(), EngineRole.DECODE));
    }

    private static Optional<Engine> find(List<Engine> engines, String id) {
        return engines.stream().filter(engine -> engine.id().equals(id)).findFirst();
    }

    /** Swap of the roles of a fast decode engine and a slow prefill engine. */
    private record Swap(Engine fast, Engine slow) {
        double gainPerMilli() {
            return fast.speed() - slow.speed();
        }

        boolean pays() {
            return gainPerMilli() * SWAP_HORIZON_MILLIS > (fast.speed() + slow.speed()) * SWAP_COST_MILLIS;
        }
    }

    /** Returns the number of prefill engines after all pending orders, each of which switches an engine's role. */
    private static int plannedPrefillCount(List<Engine> engines, @Nullable PendingSwap pending) {
        return (int) engines.stream()
                .filter(engine -> {
                    if (pending != null && pending.contains(engine)) {
                        return pending.plansPrefill(engine);
                    }
                    return engine.prefill() != engine.changing();
                })
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
                .filter(engine -> !isSwapping(engine))
                .filter(engine -> isNew(engine, nowMillis))
                .min(Comparator.comparing((Engine engine) -> -engine.preference(toPrefill))
                        .thenComparing(Engine::id))
                .map(engine -> new RatioChange(engine.id(), toPrefill ? EngineRole.PREFILL : EngineRole.DECODE));
    }

    private boolean isSwapping(Engine engine) {
        return pendingSwap != null && pendingSwap.contains(engine);
    }

    private boolean isNew(Engine engine, long nowMillis) {
        FirstSeen seen = firstSeenById.get(engine.id());
        return seen != null && nowMillis - seen.atMillis() <= NEW_ENGINE_MILLIS;
    }

    /** Returns the possible role changes, first in the failure domains with the most engines in the role to leave. */
    private Stream<RatioChange> candidates(List<Engine> engines, boolean toPrefill) {
        Map<String, List<Engine>> byDomain = engines.stream()
                .filter(engine -> engine.prefill() != toPrefill)
                .sorted(Comparator.comparing((Engine engine) -> -engine.preference(toPrefill))
                        .thenComparing(Engine::id))
                .collect(Collectors.groupingBy(Engine::failureDomain));
        return byDomain.values().stream()
                .flatMap(domain -> Stream.iterate(0, i -> i < domain.size(), i -> i + 1)
                        .map(i -> new RankedEngine(domain.size() - i, domain.get(i))))
                .filter(ranked -> !ranked.engine().changing() && !isSwapping(ranked.engine()))
                .sorted(Comparator.comparing((RankedEngine ranked) -> -ranked.sameRoleInDomain())
                        .thenComparing(ranked -> -ranked.engine().preference(toPrefill))
                        .thenComparing(ranked -> ranked.engine().id()))
                .map(ranked ->
                        new RatioChange(ranked.engine().id(), toPrefill ? EngineRole.PREFILL : EngineRole.DECODE));
    }

    private record RankedEngine(int sameRoleInDomain, Engine engine) {}
}
