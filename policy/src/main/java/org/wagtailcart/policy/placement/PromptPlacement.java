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
    static final double PREFERENCE = 0.2;

    /** The same for parts that no engine holds yet. */
    static final double NEW_PREFERENCE = 1.5;

    /** Time of a prompt's transfer and of the first step of its output. */
    static final double TRANSFER_MILLIS = 25;

    /** Time that a fetch of KV cache takes beside its bytes. */
    static final double FETCH_MILLIS = 15;

    /** A fetch must save at least this time, as it loads the links of two engines. */
    static final double FETCH_GAIN_MILLIS = 15;

    /** Delay at the start of a stream that weighs as much as an engine without a free slot. */
    static final double FULL_LOAD_MILLIS = 400;

    /** Load of a prompt token that waits at an engine that generates; reading slows its output. */
    static final double QUEUED_TOKEN_LOAD = 1.0 / 20_000;

    /** An engine that generates reads prompts at this share of the speed of one in the prefill role. */
    static final double DECODE_PREFILL_SPEED_RATIO = 0.5;

    /** Share of the time of the split way above which a prompt is not read by the engine that generates. */
    static final double LOCAL_PART = 0.8;

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
     * @param affinity identity of its last shared part, empty for none
     */
    public record Size(int promptTokens, int sharedTokens, String affinity) {}

    /**
     * Speeds of the engines.
     *
     * @param prefillTokensPerMilli prompt tokens that an engine in the prefill role reads in a millisecond
     * @param kvFetchTokensPerMilli tokens of KV cache that an engine fetches from another in a millisecond
     */
    public record Speeds(double prefillTokensPerMilli, double kvFetchTokensPerMilli) {}

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
            @Nullable EngineView prefill,
            EngineView decode,
            @Nullable EngineView prefixSource,
            int prefillTokens,
            Times times) {}

    /**
     * Estimated times of a request.
     *
     * @param prefillMillis time until the prompt is read
     * @param firstTokenMillis time to the first token
     * @param aloneMillis time to the first token if nothing else waited
     */
    public record Times(double prefillMillis, double firstTokenMillis, double aloneMillis) {
        /** Times of a request without a prompt. */
        public static final Times NONE = new Times(0, 0, 0);
    }

    /** What it takes an engine to have the whole prompt in its memory. */
    private record PrefillPlan(
            EngineView engine,
            @Nullable EngineView prefixSource,
            int prefillTokens,
            double millis,
            double aloneMillis) {}

    /** Places a prompt, empty when no engine can generate. */
    public static Optional<Choice> choose(List<EngineView> engines, Size size, Speeds speeds, Place gateway) {
        Optional<EngineView> owner = owner(engines, size.affinity(), gateway);
        List<EngineView> prefixSources = prefixSources(engines, owner, gateway);
        Optional<Choice> split = engines.stream()
                .filter(EngineView::prefillRole)
                .map(engine -> prefillPlan(engine, prefixSources, size, speeds, gateway))
                .min(Comparator.comparing((PrefillPlan reading) -> prefillCost(reading, owner, size, speeds, gateway))
                        .thenComparing(reading -> reading.engine().id()))
                .flatMap(reading -> chooseDecode(engines, reading.engine(), gateway)
                        .map(decode -> new Choice(
                                reading.engine(),
                                decode,
                                reading.prefixSource(),
                                reading.prefillTokens(),
                                times(reading, startMillis(reading.engine(), decode, size, speeds, gateway)))));
        Optional<Choice> local = engines.stream()
                .filter(engine -> !engine.prefillRole())
                .map(engine -> prefillPlan(engine, prefixSources, size, speeds, gateway))
                .min(Comparator.comparing((PrefillPlan reading) ->
                                reading.millis() + gateway.to(reading.engine()).preferenceMillis())
                        .thenComparing(reading -> reading.engine().id()))
                .map(reading -> new Choice(
                        null, reading.engine(), reading.prefixSource(), reading.prefillTokens(), times(reading, 0)));
        if (split.isEmpty() || local.isEmpty()) {
            return split.or(() -> local);
        }
        EngineView reader = local.get().decode();
        boolean localIsBetter = local.get().prefillTokens() <= MAX_LOCAL_TOKENS
                && reader.queuedTokens() <= MAX_LOCAL_TOKENS
                && reader.requests() <= MAX_LOCAL_LOAD * reader.slots()
                && local.get().times().firstTokenMillis()
                        < LOCAL_PART * split.get().times().firstTokenMillis();
        return localIsBetter ? local : split;
    }

    /** All gateways of a region find the same owner of a part without telling each other. */
    private static Optional<EngineView> owner(List<EngineView> engines, String affinity, Place gateway) {
        if (affinity.isEmpty()) {
            return Optional.empty();
        }
        return engines.stream()
                .filter(EngineView::prefillRole)
                .max(Comparator.comparing((EngineView engine) -> gateway.to(engine) != Distance.OTHER_REGION)
                        .thenComparing(engine -> weight(affinity, engine.id()))
                        .thenComparing(EngineView::id));
    }

    /** The engine of each region that holds most of the shared parts. */
    private static List<EngineView> prefixSources(List<EngineView> engines, Optional<EngineView> owner, Place gateway) {
        Comparator<EngineView> byTokens = Comparator.comparing(EngineView::cachedTokens)
                .thenComparing(engine -> owner.filter(engine::equals).isPresent())
                .thenComparing(EngineView::id);
        return List.copyOf(engines.stream()
                .collect(Collectors.toMap(gateway::regionOf, Function.identity(), BinaryOperator.maxBy(byTokens)))
                .values());
    }

    private static PrefillPlan prefillPlan(
            EngineView engine, List<EngineView> prefixSources, Size size, Speeds speeds, Place gateway) {
        double tokensPerMilli =
                speeds.prefillTokensPerMilli() * (engine.prefillRole() ? 1 : DECODE_PREFILL_SPEED_RATIO);
        int unread = Math.max(0, size.promptTokens() - engine.cachedTokens());
        double waitMillis = engine.slowdown() * engine.queuedTokens() / tokensPerMilli;
        double aloneMillis = engine.slowdown() * unread / tokensPerMilli;
        PrefillPlan alone = new PrefillPlan(engine, null, unread, waitMillis + aloneMillis, aloneMillis);
        return prefixSources.stream()
                .filter(holder -> !holder.equals(engine))
                .map(holder -> {
                    int held = Math.min(size.sharedTokens(), holder.cachedTokens());
                    int fetched = Math.max(0, held - engine.cachedTokens());
                    int factor = gateway.between(holder, engine).transferFactor();
                    double fetchMillis = FETCH_MILLIS + factor * fetched / speeds.kvFetchTokensPerMilli();
                    double fetchAndPrefillMillis =
                            engine.slowdown() * (unread - fetched) / tokensPerMilli + fetchMillis;
                    return new PrefillPlan(
                            engine,
                            holder,
                            unread - fetched,
                            waitMillis + fetchAndPrefillMillis,
                            fetchAndPrefillMillis);
                })
                .filter(reading -> reading.aloneMillis() + FETCH_GAIN_MILLIS < aloneMillis)
                .min(Comparator.comparing(PrefillPlan::millis))
                .orElse(alone);
    }

    private static Times times(PrefillPlan reading, double startMillis) {
        return new Times(reading.millis(), reading.millis() + startMillis, reading.aloneMillis() + startMillis);
    }

    /** Time from the end of the reading to the first event; a delay is seen at both engines of a pair. */
    private static double startMillis(EngineView prefill, EngineView decode, Size size, Speeds speeds, Place gateway) {
        int extra = gateway.between(prefill, decode).transferFactor() - 1;
        double farMillis = extra * size.promptTokens() / speeds.kvFetchTokensPerMilli();
        return TRANSFER_MILLIS + farMillis + Math.max(prefill.startDelayMillis(), decode.startDelayMillis());
    }

    /** Time to read, and a preference for the owner that keeps a part in one place. */
    private static double prefillCost(
            PrefillPlan reading, Optional<EngineView> owner, Size size, Speeds speeds, Place gateway) {
        boolean owned = owner.filter(reading.engine()::equals).isPresent();
        // A part that nobody holds is read where all gateways will look for it.
        double preference =
                reading.prefillTokens() > size.promptTokens() - size.sharedTokens() ? NEW_PREFERENCE : PREFERENCE;
        double distanceMillis = gateway.to(reading.engine()).preferenceMillis();
        double startMillis = reading.millis() + reading.engine().startDelayMillis();
        return startMillis
                + distanceMillis
                - (owned ? preference * size.sharedTokens() / speeds.prefillTokensPerMilli() : 0);
    }

    private static Optional<EngineView> chooseDecode(List<EngineView> engines, EngineView prefill, Place gateway) {
        return engines.stream()
                .filter(engine -> !engine.prefillRole())
                .min(Comparator.comparing((EngineView engine) -> {
                            double load = engine.slowdown() * (engine.requests() + 1) / engine.slots()
                                    + engine.queuedTokens() * QUEUED_TOKEN_LOAD
                                    + engine.startDelayMillis() / FULL_LOAD_MILLIS;
                            return load + gateway.between(prefill, engine).preferenceLoad();
                        })
                        .thenComparing(EngineView::id));
    }

    private static long weight(String affinity, String engineId) {
        CRC32C sum = new CRC32C();
        sum.update((affinity + "@" + engineId).getBytes(StandardCharsets.UTF_8));
        // A checksum is linear; mixing makes the order of two engines differ from part to part.
        long mixed = sum.getValue() * 0x9E3779B97F4A7C15L;
        return ((mixed ^ (mixed >>> 29)) * 0xBF58476D1CE4E5B9L) >>> 1;
    }
}
