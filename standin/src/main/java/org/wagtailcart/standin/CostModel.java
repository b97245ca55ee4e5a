package org.wagtailcart.standin;

import org.wagtailcart.common.EngineRole;

/**
 * Time that an engine's work takes. {@code docs/standins.md} states where the figures come from.
 *
 * @param prefillTokensPerSecond prompt tokens processed per second, shared by the prompts in work
 * @param stepMillis time of one decode step with an empty batch
 * @param stepMillisPerSequence time that each sequence adds to a decode step
 * @param stepMillisWhilePrefilling time that prompts in work add to a decode step
 * @param importTokensPerSecond tokens of KV cache imported per second
 * @param maxBatch sequences in work at once
 * @param softBatch largest number of sequences that does not count as running hard
 */
public record CostModel(
        double prefillTokensPerSecond,
        double stepMillis,
        double stepMillisPerSequence,
        double stepMillisWhilePrefilling,
        double importTokensPerSecond,
        int maxBatch,
        int softBatch) {
    private static final double PREFILL_SHARE_OF_DECODE_ENGINE = 0.25;
    private static final double PREFILL_SHARE_OF_MIXED_ENGINE = 0.6;

    /** Returns the figures of a mid-size model. */
    public static CostModel standard() {
        return new CostModel(16_000, 14, 0.5, 8, 200_000, 64, 24);
    }

    /** Returns figures for tests that need answers at once. */
    public static CostModel fast() {
        return new CostModel(2_000_000, 1, 0.01, 0, 2_000_000, 64, 24);
    }

    /** Returns the prompt tokens that an engine in the given role processes per second. */
    double prefillRate(EngineRole role) {
        return switch (role) {
            case PREFILL -> prefillTokensPerSecond;
            case MIXED -> prefillTokensPerSecond * PREFILL_SHARE_OF_MIXED_ENGINE;
            case DECODE -> prefillTokensPerSecond * PREFILL_SHARE_OF_DECODE_ENGINE;
        };
    }

    /** Returns the duration of one step in milliseconds. */
    double stepMillis(int decoding, boolean prefilling) {
        return stepMillis + stepMillisPerSequence * decoding + (prefilling ? stepMillisWhilePrefilling : 0);
    }
}
