package org.wagtailcart.policy.placement;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.zip.CRC32C;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the engine that reads a prompt and the one that generates its output. All gateways prefer the same engine for a
 * shared prompt part by rendezvous hashing, so that it is read and kept once; a long queue there outweighs the preference.
 * Pure.
 */
public final class PromptPlacement {
    /** Share of the time to read the shared parts by which the preferred engine may be worse and is still taken. */
    static final double AFFINITY_PREFERENCE = 0.2;

    /** The same for parts that no engine holds yet. */
    static final double UNCACHED_AFFINITY_PREFERENCE = 1.5;

    /** Time of a prompt's transfer and of the first step of its output. */
    static final double TRANSFER_MILLIS = 25;

    /** Time that a fetch of KV cache takes beside its bytes. */
    static final double FETCH_OVERHEAD_MILLIS = 15;

    /** A fetch must save at least this time, as it loads the links of two engines. */
    static final double MIN_FETCH_GAIN_MILLIS = 15;

    /** Delay at the start of a stream that weighs as much as an engine without a free slot. */
    static final double START_DELAY_PER_LOAD_MILLIS = 400;

    /** Load of a prompt token that waits at an engine that generates; reading slows its output. */
    static final double LOAD_PER_QUEUED_TOKEN = 1.0 / 20_000;

    /** An engine that generates reads prompts at this share of the speed of one in the prefill role. */
    static final double DECODE_PREFILL_SPEED_RATIO = 0.5;

    /** Share of the time of the split way above which a prompt is not read by the engine that generates. */
    static final double MAX_LOCAL_TIME_RATIO = 0.8;

    /** A longer rest of a prompt would hold up the output of the requests that the engine generates for. */
    static final int MAX_LOCAL_TOKENS = 2_000;

    /** Share of its slots up to which an engine that generates also reads prompts. */
    static final double MAX_LOCAL_LOAD = 0.25;

    private PromptPlacement() {}

    /**
     * Size of a prompt.
     *
     * @param promptTokens all its tokens
     * @param sharedTokens tokens of the parts that other requests have in common with it
     * @param affinityKey identity of its last shared part, empty for none
     */
    public record PromptSize(int promptTokens, int sharedTokens, String affinityKey) {}

    /**
     * Speeds of the engines.
     *
     * @param prefillTokensPerMilli prompt tokens that an engine in the prefill role reads in a millisecond
     * @param kvFetchTokensPerMilli tokens of KV cache that an engine fetches from another in a millisecond
     */
    public record EngineRates(double prefillTokensPerMilli, double kvFetchTokensPerMilli) {}

    /**
     * A choice.
     *
     * @param prefill engine that reads the prompt, null when the other one does it itself
     * @param decode engine that generates
     * @param prefixSource engine from which the reader fetches the KV cache of shared parts, null when it reads them
     * @param prefillTokens tokens that are still to be read
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
     * @param prefillMillis time until the prompt is read
     * @param firstTokenMillis time to the first token
     * @param unloadedFirstTokenMillis time to the first token if nothing else waited
     */
    public record TimeEstimate(double prefillMillis, double firstTokenMillis, double unloadedFirstTokenMillis) {
        /** Times of a request without a prompt. */
        public static final TimeEstimate NONE = new TimeEstimate(0, 0, 0);
    }

    /** What it takes an engine to have the whole prompt in its memory. */
    private record PrefillPlan(
            EngineCandidate engine,
            @Nullable EngineCandidate prefixSource,
            int prefillTokens,
            double millis,
            double unloadedMillis) {}

    /** Places a prompt, empty when no engine can generate. */
    public static Optional<Choice> choose(
            List<EngineCandidate> engines, PromptSize size, EngineRates rates, Location gateway) {
        Optional<EngineCandidate> owner = affinityOwner(engines, size.affinityKey(), gateway);
        List<EngineCandidate> prefixSources = prefixSources(engines, owner, gateway);
        Optional<Choice> split = engines.stream()
                .filter(EngineCandidate::prefillRole)
                .map(engine -> prefillPlan(engine, prefixSources, size, rates, gateway))
                .min(Comparator.comparing((PrefillPlan plan) -> prefillCost(plan, owner, size, rates, gateway))
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

    /** All gateways of a region find the same owner of a part without telling each other. */
    private static Optional<EngineCandidate> affinityOwner(
            List<EngineCandidate> engines, String affinity, Location gateway) {
        if (affinity.isEmpty()) {
            return Optional.empty();
        }
        return engines.stream()
                .filter(EngineCandidate::prefillRole)
                .max(Comparator.comparing(
                                (EngineCandidate engine) -> gateway.distanceTo(engine) != Distance.OTHER_REGION)
                        .thenComparing(engine -> rendezvousWeight(affinity, engine.id()))
                        .thenComparing(EngineCandidate::id));
    }

    /** The engine of each region that holds most of the shared parts. */
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
        double tokensPerMilli = rates.prefillTokensPerMilli() * (engine.prefillRole() ? 1 : DECODE_PREFILL_SPEED_RATIO);
        int uncached = Math.max(0, size.promptTokens() - engine.cachedTokens());
        double queueMillis = engine.slowdown() * engine.queuedTokens() / tokensPerMilli;
        double unloadedMillis = engine.slowdown() * uncached / tokensPerMilli;
        PrefillPlan withoutFetch =
                new PrefillPlan(engine, null, uncached, queueMillis + unloadedMillis, unloadedMillis);
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
                            fetchAndPrefillMillis);
                })
                .filter(plan -> plan.unloadedMillis() + MIN_FETCH_GAIN_MILLIS < unloadedMillis)
                .min(Comparator.comparing(PrefillPlan::millis))
                .orElse(withoutFetch);
    }

    private static TimeEstimate times(PrefillPlan plan, double startMillis) {
        return new TimeEstimate(plan.millis(), plan.millis() + startMillis, plan.unloadedMillis() + startMillis);
    }

    /** Time from the end of the reading to the first event; a delay is seen at both engines of a pair. */
    private static double decodeStartMillis(
            EngineCandidate prefill, EngineCandidate decode, PromptSize size, EngineRates rates, Location gateway) {
        int extraTransferFactor = gateway.distanceBetween(prefill, decode).transferFactor() - 1;
        double extraTransferMillis = extraTransferFactor * size.promptTokens() / rates.kvFetchTokensPerMilli();
        return TRANSFER_MILLIS + extraTransferMillis + Math.max(prefill.startDelayMillis(), decode.startDelayMillis());
    }

    /** Time to read, and a preference for the owner that keeps a part in one place. */
    private static double prefillCost(
            PrefillPlan plan, Optional<EngineCandidate> owner, PromptSize size, EngineRates rates, Location gateway) {
        boolean owned = owner.filter(plan.engine()::equals).isPresent();
        // A part that nobody holds is read where all gateways will look for it.
        double preference = plan.prefillTokens() > size.promptTokens() - size.sharedTokens()
                ? UNCACHED_AFFINITY_PREFERENCE
                : AFFINITY_PREFERENCE;
        double distancePenaltyMillis = gateway.distanceTo(plan.engine()).penaltyMillis();
        double startMillis = plan.millis() + plan.engine().startDelayMillis();
        return startMillis
                + distancePenaltyMillis
                - (owned ? preference * size.sharedTokens() / rates.prefillTokensPerMilli() : 0);
    }

    private static Optional<EngineCandidate> chooseDecode(
            List<EngineCandidate> engines, EngineCandidate prefill, Location gateway) {
        return engines.stream()
                .filter(engine -> !engine.prefillRole())
                .min(Comparator.comparing((EngineCandidate engine) -> {
                            double load = engine.slowdown() * (engine.inFlight() + 1) / engine.slots()
                                    + engine.queuedTokens() * LOAD_PER_QUEUED_TOKEN
                                    + engine.startDelayMillis() / START_DELAY_PER_LOAD_MILLIS;
                            return load
                                    + gateway.distanceBetween(prefill, engine).loadPenalty();
                        })
                        .thenComparing(EngineCandidate::id));
    }

    private static long rendezvousWeight(String affinity, String engineId) {
        CRC32C sum = new CRC32C();
        sum.update((affinity + "@" + engineId).getBytes(StandardCharsets.UTF_8));
        // A checksum is linear; mixing makes the order of two engines differ from part to part.
        long mixed = sum.getValue() * 0x9E3779B97F4A7C15L;
        return ((mixed ^ (mixed >>> 29)) * 0xBF58476D1CE4E5B9L) >>> 1;
    }
}
