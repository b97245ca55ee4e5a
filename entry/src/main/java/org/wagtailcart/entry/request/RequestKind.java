package org.wagtailcart.entry.request;

/** Kind of a caller's request. */
public enum RequestKind {
    /** Completion by an engine. */
    COMPLETION(true),
    /** Call to a plain service that may be repeated. */
    SERVICE_CALL(true),
    /** Call to a plain service that runs at most once. */
    AT_MOST_ONCE_CALL(false);

    private final boolean retryable;

    RequestKind(boolean repeatable) {
        this.retryable = repeatable;
    }

    /** Returns whether a second run does no harm. */
    public boolean retryable() {
        return retryable;
    }
}
