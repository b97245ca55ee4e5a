package org.wagtailcart.policy.placement;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the engine that reads a prompt and the one that generates its output. All gateways prefer the same engine for a
 * shared prompt part by rendezvous hashing, so that it is read and kept once; a long queue there outweighs the preference.
 * Pure.
 */
public final class PromptPlacement {
    /** Share of the reading time by which the preferred engine may be worse and is still taken. */
    static final double PREFERENCE = 0.4;

    /** Time of a prompt's transfer and of the first step of its output. */
    static final double TRANSFER_MILLIS = 40;

    /** Share of an engine's slots by which another failure domain must be better. */
    static final double DOMAIN_PREFERENCE = 0.25;

    /** An engine that generates reads prompts at this share of the speed of one in the prefill role. */
    static final double DECODE_READ_SPEED = 0.5;

    private PromptPlacement() {}

    /**
     * A choice.
     *
     * @param prefill engine that reads the prompt, null when the other one does it itself
     * @param decode engine that generates
     * @param firstTokenMillis estimated time to the first token
     */
    public record Choice(@Nullable EngineView prefill, EngineView decode, double firstTokenMillis) {}

    /**
     * Places a prompt, empty when no engine can generate.
     *
     * @param affinity identity of its last shared part, empty for none
     * @param tokensPerMilli speed at which an engine in the prefill role reads
     */
    public static Optional<Choice> choose(
            List<EngineView> engines, int promptTokens, String affinity, double tokensPerMilli, String ownDomain) {
        Optional<EngineView> prefill = choosePrefill(engines, promptTokens, affinity, tokensPerMilli);
        String near = prefill.map(EngineView::failureDomain).orElse(ownDomain);
        return chooseDecode(engines, near).map(decode -> {
            double readMillis = prefill.map(
                            engine -> readMillis(engine, promptTokens, tokensPerMilli) + TRANSFER_MILLIS)
                    .orElseGet(() -> readMillis(decode, promptTokens, tokensPerMilli * DECODE_READ_SPEED));
            return new Choice(prefill.orElse(null), decode, readMillis);
        });
    }

    private static Optional<EngineView> choosePrefill(
            List<EngineView> engines, int promptTokens, String affinity, double tokensPerMilli) {
        List<EngineView> candidates =
                engines.stream().filter(EngineView::prefill).toList();
        Optional<EngineView> owner = candidates.stream()
                .max(Comparator.comparing((EngineView engine) -> weight(affinity, engine.id()))
                        .thenComparing(EngineView::id));
        double preferenceMillis = PREFERENCE * promptTokens / tokensPerMilli;
        return candidates.stream()
                .min(Comparator.comparing((EngineView engine) -> {
                            boolean preferred = owner.filter(engine::equals).isPresent() && !affinity.isEmpty();
                            return readMillis(engine, promptTokens, tokensPerMilli)
                                    - (preferred ? preferenceMillis : 0);
                        })
                        .thenComparing(EngineView::id));
    }

    private static Optional<EngineView> chooseDecode(List<EngineView> engines, String near) {
        return engines.stream()
                .filter(engine -> !engine.prefill())
                .min(Comparator.comparing((EngineView engine) -> {
                            double load = engine.slowness() * (engine.requests() + 1) / engine.slots();
                            return load + (engine.failureDomain().equals(near) ? 0 : DOMAIN_PREFERENCE);
                        })
                        .thenComparing(EngineView::id));
    }

    private static double readMillis(EngineView engine, int promptTokens, double tokensPerMilli) {
        int unread = Math.max(0, promptTokens - engine.cachedTokens());
        return engine.slowness() * (engine.queuedTokens() + unread) / tokensPerMilli;
    }

    private static long weight(String affinity, String engineId) {
        CRC32C sum = new CRC32C();
        sum.update((affinity + "@" + engineId).getBytes(StandardCharsets.UTF_8));
        // A checksum is linear; mixing makes the order of two engines differ from part to part.
        long mixed = sum.getValue() * 0x9E3779B97F4A7C15L;
        return ((mixed ^ (mixed >>> 29)) * 0xBF58476D1CE4E5B9L) >>> 1;
    }
}
