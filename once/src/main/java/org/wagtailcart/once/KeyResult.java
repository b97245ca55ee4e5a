package org.wagtailcart.once;

import org.jspecify.annotations.Nullable;

/**
 * Result of a key command or a {@link LookupKey} query.
 *
 * @param state state of the key
 * @param attemptId attempt that holds or held the key, empty when free
 * @param attemptNumber log index of that attempt's reservation, 0 when free
 * @param upstreamId upstream of that attempt, empty when free
 * @param epoch sidecar epoch of that attempt
 * @param response recorded response when COMPLETED, else null
 */
public record KeyResult(
        KeyState state,
        String attemptId,
        long attemptNumber,
        String upstreamId,
        long epoch,
        @Nullable RecordedResponse response) {}
