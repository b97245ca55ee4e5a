package org.wagtailcart.policy.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.StableHash;

/**
 * Chooses the engine that prefills a prompt and the one that decodes its output. By rendezvous hashing, all gateways
 * prefer the same engine for a shared prompt segment, so that it is prefilled and cached once; a long queue there
 * outweighs the preference. Stateless.
 */
public final class PromptPlacement {
    /**
     * Share of the shared segments' prefill time by which the preferred engine may be slower and is still chosen. A copy
     * at another engine costs more than its prefill, because it evicts segments that other requests share.
     */
    static final double AFFINITY_PREFERENCE = 0.7;

    /** Share that applies instead while no engine has the shared segments cached. */
    static final double UNCACHED_AFFINITY_PREFERENCE = 4;

    /**
     * Share that applies instead while no engine has the shared segments cached and engines differ in speed. A fast
     * engine then saves more than a second prefill of the segment elsewhere costs. With 0.3 and 1.2, goodput in
     * UnequalEnginesTest was 0.96 and 0.98 at two speeds, and 0.96 and 0.96 at three, against 0.97 in both.
     */
    static final double UNEQUAL_UNCACHED_AFFINITY_PREFERENCE = 0.7;

    /** Time to transfer a prompt's KV cache and to run its first decode step. */
    static final double TRANSFER_MILLIS = 25;

    /** Fixed time of a KV cache fetch, in addition to the transfer of its bytes. */
    static final double FETCH_OVERHEAD_MILLIS = 5;

    /** Minimum saving of a fetch, because it loads the links of two engines. */
    static final double MIN_FETCH_GAIN_MILLIS = 5;

    /** Stream start delay that counts as much as the load of an engine without a free slot. */
    static final double START_DELAY_PER_LOAD_MILLIS = 400;

    /** Load per prompt token queued at a decode engine, because prefill slows its decoding. */
    static final double LOAD_PER_QUEUED_TOKEN = 1.0 / 20_000;

    /** Prefill speed of a decode engine, relative to an engine in the prefill role. */
    public static final double DECODE_PREFILL_SPEED_RATIO = 0.5;

    /** Time to first token, relative to separate prefill, below which the decode engine prefills a prompt itself. */
    static final double MAX_LOCAL_TIME_RATIO = 0.8;

    /** Bound on uncached and on queued prompt tokens for prefill at a decode engine; more would stall its output. */
    static final int MAX_LOCAL_TOKENS = 2_000;

    /** Share of a decode engine's slots in use up to which it also prefills prompts. */
    static final double MAX_LOCAL_LOAD = 0.25;

    /** Queue of an owner, relative to the mean of the prefill engines, above which another engine becomes the owner. */
    static final double MAX_OWNER_QUEUE_RATIO = 2;

    private static final double MAX_RENDEZVOUS_WEIGHT = 0x1p63;

    private PromptPlacement() {}

    /**
     * Size of a prompt and of its shared segments.
     *
     * @param promptTokens all its tokens
     * @param sharedTokens tokens of the segments that it shares with other requests
     * @param affinityKey identity of its last shared segment, empty for none
     */
    public record PromptSize(int promptTokens, int sharedTokens, String affinityKey) {}

    /**
     * Speeds of the engines.
     *
     * @param prefillTokensPerMilli prompt tokens that an engine of speed 1 in the prefill role processes in a millisecond
     * @param kvFetchTokensPerMilli tokens of KV cache that an engine fetches from another in a millisecond
     */
    public record EngineRates(double prefillTokensPerMilli, double kvFetchTokensPerMilli) {}

    /**
     * Engines chosen for a prompt.
     *
     * @param prefill engine that prefills the prompt, null when the decode engine does
     * @param decode engine that decodes the output
     * @param prefixSource engine from which the KV cache of shared segments is fetched, null for no fetch
     * @param prefillTokens tokens that must be prefilled
     * @param times estimated times
     */
    public record Choice(
            @Nullable EngineCandidate prefill,
            EngineCandidate decode,
            @Nullable EngineCandidate prefixSource,
            int prefillTokens,
            TimeEstimate times) {}

    /**
     * Estimated times of a request.
     *
     * @param prefillMillis time until the prefill ends
     * @param firstTokenMillis time to the first token
     * @param unloadedFirstTokenMillis time to the first token without queueing
     * @param fetchMillis part of the prefill time in which KV cache is fetched
     */
    public record TimeEstimate(
            double prefillMillis, double firstTokenMillis, double unloadedFirstTokenMillis, double fetchMillis) {
        /** Times of a request without a prompt. */
        public static final TimeEstimate NONE = new TimeEstimate(0, 0, 0, 0);
    }

    /** Prefill of a prompt at one engine: prefix source, tokens to prefill, and time with and without queueing. */
    private record PrefillPlan(
            EngineCandidate engine,
            @Nullable EngineCandidate prefixSource,
            int prefillTokens,
            double millis,
            double unloadedMillis,
            double fetchMillis) {}

    /** Returns the engines for a prompt, or empty when there is no decode engine. */
    public static Optional<Choice> choose(
            List<EngineCandidate> engines, PromptSize size, EngineRates rates, Location gateway) {
        Optional<EngineCandidate> owner = affinityOwner(engines, size, rates, gateway);
        List<EngineCandidate> prefixSources = prefixSources(engines, owner, gateway);
        double uncachedPreference =
                differInSpeed(engines) ? UNEQUAL_UNCACHED_AFFINITY_PREFERENCE : UNCACHED_AFFINITY_PREFERENCE;
        Optional<Choice> split = engines.stream()
                .filter(EngineCandidate::prefillRole)
                .map(engine -> prefillPlan(engine, prefixSources, size, rates, gateway))
                .min(Comparator.comparing((PrefillPlan plan) ->
                                prefillCost(plan, owner, size, rates, uncachedPreference, gateway))
                        .thenComparing(plan -> plan.engine().id()))
                .flatMap(plan -> chooseDecode(engines, plan.engine(), gateway)
                        .map(decode -> new Choice(
                                plan.engine(),
                                decode,
                                plan.prefixSource(),
                                plan.prefillTokens(),
                                times(plan, decodeStartMillis(plan.engine(), decode, size, rates, gateway)))));
        Optional<Choice> local = engines.stream()
                .filter(engine -> !engine.prefillRole())
                .map(engine -> prefillPlan(engine, prefixSources, size, rates, gateway))
                .min(Comparator.comparing((PrefillPlan plan) -> plan.millis()
                                + gateway.distanceTo(plan.engine()).penaltyMillis())
                        .thenComparing(plan -> plan.engine().id()))
                .map(plan ->
                        new Choice(null, plan.engine(), plan.prefixSource(), plan.prefillTokens(), times(plan, 0)));
        if (split.isEmpty() || local.isEmpty()) {
            return split.or(() -> local);
        }
        EngineCandidate localEngine = local.get().decode();
        boolean localIsBetter = local.get().prefillTokens() <= MAX_LOCAL_TOKENS
                && localEngine.queuedTokens() <= MAX_LOCAL_TOKENS
                && localEngine.inFlight() <= MAX_LOCAL_LOAD * localEngine.slots()
                && local.get().times().firstTokenMillis()
                        < MAX_LOCAL_TIME_RATIO * split.get().times().firstTokenMillis();
        return localIsBetter ? local : split;
    }

    /**
     * Returns the best of the choices among pools of engines that exchange no KV cache. As within a pool, a copy of the
     * shared segments in a second pool costs more than its prefill.
     */
    public static Optional<Choice> chooseAmongPools(Stream<Choice> choices, PromptSize size, EngineRates rates) {
        return choices.min(Comparator.comparing(choice -> {
            boolean sharedAreCached = choice.prefillTokens() <= size.promptTokens() - size.sharedTokens();
            double copyMillis = AFFINITY_PREFERENCE * size.sharedTokens() / rates.prefillTokensPerMilli();
            return choice.times().firstTokenMillis() + (sharedAreCached ? 0 : copyMillis);
        }));
    }

    /** Returns the preferred engine of a segment; all gateways of a region find the same one without communication. */
    private static Optional<EngineCandidate> affinityOwner(
            List<EngineCandidate> engines, PromptSize size, EngineRates rates, Location gateway) {
        String affinity = size.affinityKey();
        if (affinity.isEmpty()) {
            return Optional.empty();
        }
        double maxQueueMillis = maxOwnerQueueMillis(engines, size, rates);
        return engines.stream()
                .filter(EngineCandidate::prefillRole)
                .max(Comparator.comparing(
                                (EngineCandidate engine) -> gateway.distanceTo(engine) != Distance.OTHER_REGION)
                        .thenComparing(engine -> queueMillis(engine, rates) <= maxQueueMillis)
                        .thenComparing(engine -> weightedScore(affinity, engine))
                        .thenComparing(engine -> rendezvousWeight(affinity, engine.id()))
                        .thenComparing(EngineCandidate::id));
    }

    /**
     * Returns the queue above which an engine does not become the owner of a segment. Where engines differ in speed, a
     * segment that no engine has cached goes to the next owner in the order rather than behind a long queue.
     */
    private static double maxOwnerQueueMillis(List<EngineCandidate> engines, PromptSize size, EngineRates rates) {
        boolean cached = engines.stream().anyMatch(engine -> engine.cachedTokens() >= size.sharedTokens());
        if (cached || !differInSpeed(engines)) {
            return Double.MAX_VALUE;
        }
        double meanMillis = engines.stream()
                .filter(EngineCandidate::prefillRole)
                .mapToDouble(engine -> queueMillis(engine, rates))
                .average()
                .orElse(0);
        return Math.max(MAX_OWNER_QUEUE_RATIO * meanMillis, size.sharedTokens() / rates.prefillTokensPerMilli());
    }

    private static double queueMillis(EngineCandidate engine, EngineRates rates) {
        return engine.slowdown() * engine.queuedTokens() / engine.tokensPerMilli(rates);
    }

    private static boolean differInSpeed(List<EngineCandidate> engines) {
        return engines.stream()
                        .filter(EngineCandidate::prefillRole)
                        .mapToDouble(EngineCandidate::speed)
                        .distinct()
                        .count()
                > 1;
    }

    /** Returns the score of an engine in weighted rendezvous hashing; it owns segments in proportion to its speed. */
    private static double weightedScore(String affinity, EngineCandidate engine) {
        double hash =
                Math.min(Math.nextDown(1.0), (rendezvousWeight(affinity, engine.id()) + 1.0) / MAX_RENDEZVOUS_WEIGHT);
        return -engine.speed() / Math.log(hash);
    }

    /** Returns for each region the engine with the most cached tokens of the prompt. */
    private static List<EngineCandidate> prefixSources(
            List<EngineCandidate> engines, Optional<EngineCandidate> owner, Location gateway) {
        Comparator<EngineCandidate> byTokens = Comparator.comparing(EngineCandidate::cachedTokens)
                .thenComparing(engine -> owner.filter(engine::equals).isPresent())
                .thenComparing(EngineCandidate::id);
        return List.copyOf(engines.stream()
                .collect(Collectors.toMap(gateway::regionOf, Function.identity(), BinaryOperator.maxBy(byTokens)))
                .values());
    }

    private static PrefillPlan prefillPlan(
            EngineCandidate engine,
            List<EngineCandidate> prefixSources,
            PromptSize size,
            EngineRates rates,
            Location gateway) {
        double tokensPerMilli = engine.tokensPerMilli(rates);
        int uncached = Math.max(0, size.promptTokens() - engine.cachedTokens());
        double queueMillis = queueMillis(engine, rates);
        double unloadedMillis = engine.slowdown() * uncached / tokensPerMilli;
        PrefillPlan withoutFetch =
                new PrefillPlan(engine, null, uncached, queueMillis + unloadedMillis, unloadedMillis, 0);
        return prefixSources.stream()
                .filter(source -> !source.equals(engine))
                .map(source -> {
                    int sourceTokens = Math.min(size.sharedTokens(), source.cachedTokens());
                    int fetched = Math.max(0, sourceTokens - engine.cachedTokens());
                    int factor = gateway.distanceBetween(source, engine).transferFactor();
                    double fetchMillis = FETCH_OVERHEAD_MILLIS + factor * fetched / rates.kvFetchTokensPerMilli();
                    double fetchAndPrefillMillis =
                            engine.slowdown() * (uncached - fetched) / tokensPerMilli + fetchMillis;
                    return new PrefillPlan(
                            engine,
                            source,
                            uncached - fetched,
                            queueMillis + fetchAndPrefillMillis,
                            fetchAndPrefillMillis,
                            fetchMillis);
                })
                .filter(plan -> plan.unloadedMillis() + MIN_FETCH_GAIN_MILLIS < unloadedMillis)
                .min(Comparator.comparing(PrefillPlan::millis))
                .orElse(withoutFetch);
    }

    private static TimeEstimate times(PrefillPlan plan, double startMillis) {
        return new TimeEstimate(
                plan.millis(), plan.millis() + startMillis, plan.unloadedMillis() + startMillis, plan.fetchMillis());
    }

    /**
     * Returns the time from the end of prefill to the first event. The start delay of a stream is recorded at both
     * engines of its pair, so only the larger one counts.
     */
    private static double decodeStartMillis(
            EngineCandidate prefill, EngineCandidate decode, PromptSize size, EngineRates rates, Location gateway) {
        int extraTransferFactor = gateway.distanceBetween(prefill, decode).transferFactor() - 1;
        double extraTransferMillis = extraTransferFactor * size.promptTokens() / rates.kvFetchTokensPerMilli();
        return TRANSFER_MILLIS + extraTransferMillis + Math.max(prefill.startDelayMillis(), decode.startDelayMillis());
    }

    /**
     * Returns the prefill time with penalties, less a bonus for the owner that keeps a segment cached on one engine.
     */
    private static double prefillCost(
            PrefillPlan plan,
            Optional<EngineCandidate> owner,
            PromptSize size,
            EngineRates rates,
            double uncachedPreference,
            Location gateway) {
        boolean owned = owner.filter(plan.engine()::equals).isPresent();
        // A segment that no engine has cached is prefilled where all gateways will look for it.
        double preference = plan.prefillTokens() > size.promptTokens() - size.sharedTokens()
                ? uncachedPreference
                : AFFINITY_PREFERENCE;
        double distancePenaltyMillis = gateway.distanceTo(plan.engine()).penaltyMillis();
        double startMillis = plan.millis() + plan.engine().startDelayMillis();
        return startMillis
                + distancePenaltyMillis
                - (owned ? preference * size.sharedTokens() / plan.engine().tokensPerMilli(rates) : 0);
    }

    /** Returns the engine that decodes the output of a prompt that another engine prefills, or empty for none. */
    public static Optional<EngineCandidate> chooseDecode(
            List<EngineCandidate> engines, EngineCandidate prefill, Location gateway) {
        return engines.stream()
                .filter(engine -> !engine.prefillRole())
                .min(Comparator.comparing((EngineCandidate engine) -> {
                            double load =
                                    engine.slowdown() * (engine.inFlight() + 1) / (engine.slots() * engine.speed())
                                            + engine.queuedTokens() * LOAD_PER_QUEUED_TOKEN
                                            + engine.startDelayMillis() / START_DELAY_PER_LOAD_MILLIS;
                            return load
                                    + gateway.distanceBetween(prefill, engine).loadPenalty();
                        })
                        .thenComparing(EngineCandidate::id));
    }

    static long rendezvousWeight(String affinity, String engineId) {
        return StableHash.of(affinity + "@" + engineId) >>> 1;
    }
}
