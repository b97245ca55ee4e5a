package org.wagtailcart.standin;

import org.wagtailcart.common.EngineRole;

/**
 * Cost model of a stand-in engine: the time that prefill, decode and KV cache import take. {@code docs/standins.md}
 * states where the numbers come from.
 *
 * @param prefillTokensPerSecond prompt tokens prefilled per second, shared by the prompts in the batch
 * @param stepMillis duration of a decode step with an empty batch
 * @param stepMillisPerSequence time that each sequence adds to a decode step
 * @param stepMillisWhilePrefilling time that a prefill in the batch adds to a decode step
 * @param importTokensPerSecond tokens of KV cache imported per second
 * @param maxBatch largest number of sequences in the batch
 * @param softBatch largest number of sequences at which the engine is not above the soft limit on power
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

    /** Returns the cost model of a mid-size model. */
    public static CostModel standard() {
        return new CostModel(16_000, 14, 0.5, 8, 200_000, 64, 24);
    }

    /** Returns a cost model for tests, with steps of 1 ms and almost no prefill time. */
    public static CostModel fast() {
        return new CostModel(2_000_000, 1, 0.01, 0, 2_000_000, 64, 24);
    }

    /** Returns the prompt tokens that an engine in the given role prefills per second. */
    double prefillRate(EngineRole role) {
        return switch (role) {
            case PREFILL -> prefillTokensPerSecond;
            case MIXED -> prefillTokensPerSecond * PREFILL_SHARE_OF_MIXED_ENGINE;
            case DECODE -> prefillTokensPerSecond * PREFILL_SHARE_OF_DECODE_ENGINE;
        };
    }

    /** Returns the duration of one step in milliseconds, for the given number of sequences that decode. */
    double stepMillis(int decoding, boolean prefilling) {
        return stepMillis + stepMillisPerSequence * decoding + (prefilling ? stepMillisWhilePrefilling : 0);
    }
}
