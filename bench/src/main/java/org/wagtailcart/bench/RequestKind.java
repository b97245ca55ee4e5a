package org.wagtailcart.bench;

import org.wagtailcart.common.Priority;

/** Kinds of requests with their mean token counts. */
enum RequestKind {
    COUNTER(Priority.INTERACTIVE, 300, 120, 256, 20),
    DRAFT(Priority.NORMAL, 800, 300, 512, 30),
    MANUAL(Priority.NORMAL, 4_000, 200, 2_048, 12),
    BATCH(Priority.BATCH, 2_000, 400, 512, 10),
    LOOKUP(Priority.INTERACTIVE, 0, 0, 0, 1),
    BOOKING(Priority.INTERACTIVE, 0, 0, 0, 1);

    static final long BATCH_DEADLINE_MILLIS = 120_000;

    final Priority priority;
    final int promptTokens;
    final int outputTokens;
    final int sharedTokens;
    final int prefixGroups;

    RequestKind(Priority priority, int promptTokens, int outputTokens, int sharedTokens, int prefixGroups) {
        this.priority = priority;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.sharedTokens = sharedTokens;
        this.prefixGroups = prefixGroups;
    }

    /** Returns the number of full prefix blocks that requests of a prefix group share. */
    int sharedBlocks() {
        return sharedTokens / CostModel.BLOCK_TOKENS;
    }

    boolean forService() {
        return promptTokens == 0;
    }

    boolean idempotent() {
        return this != BOOKING;
    }

    /** Returns the time from arrival within which a complete response is good, by the limits of design section 12. */
    long limitMillis(int outputTokens) {
        return switch (this) {
            case BATCH -> BATCH_DEADLINE_MILLIS;
            case LOOKUP, BOOKING -> Limits.MAX_FIRST_TOKEN_MILLIS;
            case COUNTER, DRAFT, MANUAL ->
                Limits.MAX_FIRST_TOKEN_MILLIS + Limits.MAX_TOKEN_INTERVAL_MILLIS * outputTokens;
        };
    }
}
