package org.wagtailcart.standin;

import java.util.List;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * JSON body of a completion request, with the fields that the system adds for the engine.
 *
 * @param resumeFrom index of the first output token to generate
 * @param kvSource where to import the KV cache of the prompt from
 * @param holdKv whether to keep the KV cache of the prompt for export
 */
record CompletionBody(
        @Nullable String model,
        @Nullable String prompt,
        @Nullable List<Message> messages,
        @Nullable Integer maxTokens,
        boolean stream,
        int priority,
        int resumeFrom,
        @Nullable KvSource kvSource,
        boolean holdKv) {
    private static final int DEFAULT_MAX_TOKENS = 16;

    record Message(String role, String content) {}

    record KvSource(String address, String requestId) {}

    /** Returns the prompt; chat messages are joined as lines of the form {@code role: content}. */
    String promptText() {
        List<Message> chat = messages;
        if (chat == null) {
            return prompt == null ? "" : prompt;
        }
        return chat.stream()
                .map(message -> message.role() + ": " + message.content())
                .collect(Collectors.joining("\n"));
    }

    /** Returns the index after the last output token to generate. */
    int outputTokens() {
        return maxTokens == null ? DEFAULT_MAX_TOKENS : Math.max(0, maxTokens);
    }
}
