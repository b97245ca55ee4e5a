package org.wagtailcart.sidecar.message;

import java.util.List;
import org.wagtailcart.common.Priority;

/**
 * Request to a sidecar to send one HTTP request to an upstream. The sidecar replies with the events
 * {@link AttemptStarted} and {@link AttemptChunk} and the final {@link AttemptEnd}, or with an error.
 *
 * @param attemptId random id; a sidecar sends each attempt at most once
 * @param attemptNumber log index of the key reservation; 0 for an idempotent attempt
 * @param epoch sidecar epoch of the reservation; 0 for an idempotent attempt
 * @param upstreamId id of the upstream
 * @param revision settings revision in force at the entry
 * @param remainingMillis time from the receipt of this message to the caller's deadline
 * @param priority priority in the queue of the sidecar
 * @param method HTTP method
 * @param path path and query of the request
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
    /** Returns whether the request must run at most once, that is, has a key reservation. */
    public boolean nonIdempotent() {
        return attemptNumber > 0;
    }
}
