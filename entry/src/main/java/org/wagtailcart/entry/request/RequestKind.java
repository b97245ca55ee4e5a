package org.wagtailcart.entry.request;

/** Kind of a caller's request, which decides whether it may be retried. */
public enum RequestKind {
    /** Completion by an engine. */
    COMPLETION(true),
    /** Call to a plain service that may be retried. */
    SERVICE_CALL(true),
    /** Call to a plain service that runs at most once. */
    AT_MOST_ONCE_CALL(false);

    private final boolean retryable;

    RequestKind(boolean retryable) {
        this.retryable = retryable;
    }

    /** Returns whether the request may be retried because a second run does no harm. */
    public boolean retryable() {
        return retryable;
    }
}
