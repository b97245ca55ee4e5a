package org.wagtailcart.sidecar.message;

import java.util.List;
import org.wagtailcart.common.Priority;

/**
 * Asks a sidecar to send one HTTP request to its upstream. Answered by events {@link AttemptStarted} and
 * {@link AttemptChunk} and the end {@link AttemptEnd}, or by an error.
 *
 * @param attemptId random id; a sidecar sends each attempt at most once
 * @param attemptNumber log index of the key reservation; 0 for an idempotent attempt
 * @param epoch sidecar epoch of the reservation; 0 for an idempotent attempt
 * @param upstreamId upstream
 * @param revision settings revision in force at the entry
 * @param remainingMillis time until the caller's deadline, from receipt
 * @param priority scheduling class
 * @param method HTTP method
 * @param path path and query
 * @param headers header lines, name and value alternating
 * @param body request body
 */
public record AttemptRequest(
        String attemptId,
        long attemptNumber,
        long epoch,
        String upstreamId,
        long revision,
        long remainingMillis,
        Priority priority,
        String method,
        String path,
        List<String> headers,
        byte[] body) {
    /** Returns whether the request must run at most once. */
    public boolean nonIdempotent() {
        return attemptNumber > 0;
    }
}
