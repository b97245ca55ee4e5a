package org.wagtailcart.entry.request;

import java.util.List;
import java.util.Optional;
import org.wagtailcart.common.Priority;

/**
 * A classified request of a caller.
 *
 * @param kind kind of the request
 * @param workspace workspace of the caller
 * @param priority scheduling class
 * @param deadlineMillis monotonic time by which the response must be complete
 * @param pool model or service name
 * @param method HTTP method
 * @param path path and query for the upstream
 * @param headers header lines for the upstream, name and value alternating
 * @param body request body
 * @param completion parsed body of a completion
 * @param idempotencyKey key of an at-most-once call
 */
public record CallerRequest(
        RequestKind kind,
        String workspace,
        Priority priority,
        long deadlineMillis,
        String pool,
        String method,
        String path,
        List<String> headers,
        byte[] body,
        Optional<CompletionRequest> completion,
        Optional<String> idempotencyKey) {
    /** Returns whether the caller requested an event stream. */
    public boolean streamRequested() {
        return completion.map(CompletionRequest::streamRequested).orElse(false);
    }
}
