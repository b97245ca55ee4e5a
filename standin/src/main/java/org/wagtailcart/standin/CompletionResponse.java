package org.wagtailcart.standin;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** JSON body of a completion response, or of one event of a streamed response. */
record CompletionResponse(
        String id, String object, String model, @Nullable List<Choice> choices, @Nullable Usage usage) {
    record Choice(
            int index,
            @Nullable String text,
            @Nullable Content message,
            @Nullable Content delta,
            @Nullable String finishReason) {}

    record Content(@Nullable String role, String content) {}

    record Usage(int promptTokens, int completionTokens, int totalTokens) {}

    static Usage usage(int promptTokens, int completionTokens) {
        return new Usage(promptTokens, completionTokens, promptTokens + completionTokens);
    }
}
