package org.wagtailcart.bench;

import org.wagtailcart.common.EngineRole;

/**
 * Cost model of the simulated engine. It reaches the published target of 46 ms between tokens at a batch of about 75
 * and makes a prompt token about six times cheaper than an output token.
 */
final class CostModel {
    /** Duration of a decode step before the share of each sequence. */
    static final double STEP_BASE_MILLIS = 18;

    static final double STEP_PER_SEQUENCE_MILLIS = 0.35;
    static final double PREFILL_TOKENS_PER_MILLI = 10;
    static final int KV_TOKENS = 240_000;
    static final int PREFIX_CACHE_TOKENS = 120_000;
    static final int BLOCK_TOKENS = 256;
    /** Tokens of KV cache that a transfer between engines moves per millisecond. */
    static final double KV_TRANSFER_TOKENS_PER_MILLI = 100;

    static final double ROLE_CHANGE_MILLIS = 8_000;
    /** Factor on the speed of every engine while more engines run above the soft limit than the power feed allows. */
    static final double THROTTLED_SPEED = 0.6;

    /** Engines above the power limit that the feed carries without tripping. */
    static final int TRIP_EXCESS_ENGINES = 2;
    /** Time beyond {@link #TRIP_EXCESS_ENGINES} after which the feed trips and engines crash. */
    static final double TRIP_DELAY_MILLIS = 3_000;
    /** Time until an engine serves again after a trip. */
    static final double RESTART_MILLIS = 20_000;
    /** Time between the crash of an engine and its detection by an entry. */
    static final double FAILURE_DETECTION_MILLIS = 300;

    private CostModel() {}

    /** Returns the largest batch that keeps the time between tokens within 46 ms. */
    static int batchLimit(EngineRole role, boolean powerGranted) {
        return switch (role) {
            case PREFILL -> powerGranted ? 16 : 8;
            case DECODE -> powerGranted ? 72 : 24;
            case MIXED -> powerGranted ? 40 : 16;
        };
    }

    /** Returns the prompt tokens that an engine prefills in one step. */
    static int chunkTokens(EngineRole role, boolean decoding) {
        return switch (role) {
            case PREFILL -> 1024;
            case DECODE -> 0;
            case MIXED -> decoding ? 128 : 512;
        };
    }

    /** Returns the output tokens per second of a decode engine with a full batch. */
    static double decodeTokensPerSecond() {
        int batch = batchLimit(EngineRole.DECODE, true);
        return 1_000 * batch / (STEP_BASE_MILLIS + STEP_PER_SEQUENCE_MILLIS * batch);
    }
}
