package org.wagtailcart.gateway.protocol;

import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * What the headers of a request say.
 *
 * @param requestId identity of the request, empty when it has none
 * @param timeoutMillis time that the caller will wait
 * @param prompt its prompt, null when it asks for no generated text
 * @param lastEventId last event that the caller holds of a stream that broke off, empty for none
 */
public record RequestMetadata(
        String requestId, OptionalLong timeoutMillis, @Nullable Prompt prompt, String lastEventId) {}
