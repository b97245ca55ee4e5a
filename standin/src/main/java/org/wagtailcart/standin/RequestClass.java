package org.wagtailcart.standin;

import org.wagtailcart.common.Priority;

/** Kinds of requests in a load, with their mean token counts and priorities. */
enum RequestClass {
    /** Short interactive request. */
    COUNTER(60, 24, Priority.INTERACTIVE),
    /** Long prompt with a short output, such as the review of a draft. */
    PROMPT_HEAVY(3_000, 40, Priority.NORMAL),
    /** Short prompt with a long output, such as a manual. */
    OUTPUT_HEAVY(200, 300, Priority.BATCH),
    /** Call to a plain service with an {@code Idempotency-Key} header. */
    KEYED(0, 0, Priority.NORMAL);

    private final int promptTokens;
    private final int outputTokens;
    private final Priority priority;

    RequestClass(int promptTokens, int outputTokens, Priority priority) {
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.priority = priority;
    }

    int promptTokens() {
        return promptTokens;
    }

    int outputTokens() {
        return outputTokens;
    }

    Priority priority() {
        return priority;
    }
}
