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
    /** Share of the time to read the shared parts by which the preferred engine may be worse and is still taken. */
    static final double PREFERENCE = 0.4;

    /** Time of a prompt's transfer and of the first step of its output. */
    static final double TRANSFER_MILLIS = 25;

    /** Share of an engine's slots by which another failure domain must be better. */
    static final double DOMAIN_PREFERENCE = 0.25;

    /** An engine that generates reads prompts at this share of the speed of one in the prefill role. */
    static final double DECODE_READ_SPEED = 0.5;

    /** Share of the time of the split way above which a prompt is not read by the engine that generates. */
    static final double LOCAL_PART = 0.8;

    /** A longer rest of a prompt would hold up the output of the requests that the engine generates for. */
    static final int MAX_LOCAL_TOKENS = 3_000;

    private PromptPlacement() {}

    /**
     * Size of a prompt.
     *
     * @param promptTokens all its tokens
     * @param sharedTokens tokens of the parts that other requests have in common with it
     * @param affinity identity of its last shared part, empty for none
     * @param seen whether this gateway has sent a request with that part before
     */
    public record Size(int promptTokens, int sharedTokens, String affinity, boolean seen) {}

    /**
     * A choice.
     *
     * @param prefill engine that reads the prompt, null when the other one does it itself
     * @param decode engine that generates
     * @param unreadTokens tokens that are still to be read
     * @param firstTokenMillis estimated time to the first token
     */
    public record Choice(@Nullable EngineView prefill, EngineView decode, int unreadTokens, double firstTokenMillis) {}

    /**
     * Places a prompt, empty when no engine can generate.
     *
     * @param tokensPerMilli speed at which an engine in the prefill role reads
     */
    public static Optional<Choice> choose(
            List<EngineView> engines, Size size, double tokensPerMilli, String ownDomain) {
        Optional<Choice> split = split(engines, size, tokensPerMilli);
        Optional<Choice> local = local(engines, size, tokensPerMilli, ownDomain);
        if (split.isEmpty() || local.isEmpty()) {
            return split.or(() -> local);
        }
        boolean better = local.get().unreadTokens() <= MAX_LOCAL_TOKENS
                && local.get().firstTokenMillis() < LOCAL_PART * split.get().firstTokenMillis();
        return better ? local : split;
    }

    private static Optional<Choice> split(List<EngineView> engines, Size size, double tokensPerMilli) {
        List<EngineView> candidates =
                engines.stream().filter(EngineView::prefill).toList();
        Optional<EngineView> owner = owner(candidates, size.affinity());
        double preferenceMillis = PREFERENCE * size.sharedTokens() / tokensPerMilli;
        Optional<EngineView> reader = candidates.stream()
                .min(Comparator.comparing((EngineView engine) -> {
                            boolean owned = owner.filter(engine::equals).isPresent();
                            double readMillis = readMillis(engine, unread(engine, size, owned), tokensPerMilli);
                            return owned ? readMillis - preferenceMillis : readMillis;
                        })
                        .thenComparing(EngineView::id));
        return reader.flatMap(
                prefill -> chooseDecode(engines, prefill.failureDomain()).map(decode -> {
                    int unread =
                            unread(prefill, size, owner.filter(prefill::equals).isPresent());
                    return new Choice(
                            prefill, decode, unread, readMillis(prefill, unread, tokensPerMilli) + TRANSFER_MILLIS);
                }));
    }

    private static Optional<Choice> local(
            List<EngineView> engines, Size size, double tokensPerMilli, String ownDomain) {
        double speed = tokensPerMilli * DECODE_READ_SPEED;
        return engines.stream()
                .filter(engine -> !engine.prefill())
                .min(Comparator.comparing((EngineView engine) -> readMillis(engine, unread(engine, size, false), speed)
                                + (engine.failureDomain().equals(ownDomain) ? 0 : DOMAIN_PREFERENCE))
                        .thenComparing(EngineView::id))
                .map(engine -> {
                    int unread = unread(engine, size, false);
                    return new Choice(null, engine, unread, readMillis(engine, unread, speed));
                });
    }

    /** All gateways find the same owner without telling each other. */
    private static Optional<EngineView> owner(List<EngineView> candidates, String affinity) {
        return affinity.isEmpty()
                ? Optional.empty()
                : candidates.stream()
                        .max(Comparator.comparing((EngineView engine) -> weight(affinity, engine.id()))
                                .thenComparing(EngineView::id));
    }

    /** The owner of a part that is in use is taken to hold it, whichever gateway sent it there. */
    private static int unread(EngineView engine, Size size, boolean owned) {
        int cached =
                owned && size.seen() ? Math.max(engine.cachedTokens(), size.sharedTokens()) : engine.cachedTokens();
        return Math.max(0, size.promptTokens() - cached);
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

    private static double readMillis(EngineView engine, int unreadTokens, double tokensPerMilli) {
        return engine.slowness() * (engine.queuedTokens() + unreadTokens) / tokensPerMilli;
    }

    private static long weight(String affinity, String engineId) {
        CRC32C sum = new CRC32C();
        sum.update((affinity + "@" + engineId).getBytes(StandardCharsets.UTF_8));
        // A checksum is linear; mixing makes the order of two engines differ from part to part.
        long mixed = sum.getValue() * 0x9E3779B97F4A7C15L;
        return ((mixed ^ (mixed >>> 29)) * 0xBF58476D1CE4E5B9L) >>> 1;
    }
}
