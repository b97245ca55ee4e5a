package org.wagtailcart.standin;

import java.util.List;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** Body of a completion request, with the fields that the system adds for the engine. */
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

    /** Returns the prompt; messages of a chat are joined as lines {@code role: content}. */
    String promptText() {
        List<Message> chat = messages;
        if (chat == null) {
            return prompt == null ? "" : prompt;
        }
        return chat.stream()
                .map(message -> message.role() + ": " + message.content())
                .collect(Collectors.joining("\n"));
    }

    int outputTokens() {
        return maxTokens == null ? DEFAULT_MAX_TOKENS : Math.max(0, maxTokens);
    }
}
