package org.wagtailcart.bench;

import org.wagtailcart.common.EngineRole;

/**
 * Constants of the fake engine. All are chosen, none is measured: they put the published target of 46 ms between tokens
 * at a batch of about 75 and make a prompt token about six times cheaper than an output token.
 */
final class CostModel {
    static final double STEP_BASE_MILLIS = 18;
    static final double STEP_PER_STREAM_MILLIS = 0.35;
    static final double PREFILL_TOKENS_PER_MILLI = 10;
    static final int KV_TOKENS = 240_000;
    static final int PREFIX_CACHE_TOKENS = 120_000;
    static final int BLOCK_TOKENS = 256;
    /** Bandwidth of a KV cache transfer between engines. */
    static final double KV_TRANSFER_TOKENS_PER_MILLI = 100;

    static final double ROLE_CHANGE_MILLIS = 8_000;
    /** Speed of every engine while more engines run hard than the feed carries. */
    static final double THROTTLED_SPEED = 0.6;

    static final int TRIP_EXCESS = 2;
    static final double TRIP_MILLIS = 3_000;
    static final double RESTART_MILLIS = 20_000;
    /** Time between the death of an engine and its entry noticing. */
    static final double FAILURE_NOTICE_MILLIS = 300;

    private CostModel() {}

    /** Returns the streams an engine generates for at once within 46 ms between tokens. */
    static int batchLimit(EngineRole role, boolean hard) {
        return switch (role) {
            case PREFILL -> hard ? 16 : 8;
            case DECODE -> hard ? 72 : 24;
            case MIXED -> hard ? 40 : 16;
        };
    }

    /** Returns the prompt tokens processed in one step. */
    static int chunkTokens(EngineRole role, boolean generating) {
        return switch (role) {
            case PREFILL -> 1024;
            case DECODE -> 0;
            case MIXED -> generating ? 128 : 512;
        };
    }

    /** Returns output tokens per second of a full decode engine. */
    static double decodeTokensPerSecond() {
        int batch = batchLimit(EngineRole.DECODE, true);
        return 1_000 * batch / (STEP_BASE_MILLIS + STEP_PER_STREAM_MILLIS * batch);
    }
}
