package org.wagtailcart.entry.request;

/** Kind of a caller's request. */
public enum RequestKind {
    /** Completion by an engine. */
    COMPLETION(true),
    /** Call to a plain service that may be repeated. */
    SERVICE_CALL(true),
    /** Call to a plain service that runs at most once. */
    KEYED_CALL(false);

    private final boolean repeatable;

    RequestKind(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /** Returns whether a second run does no harm. */
    public boolean repeatable() {
        return repeatable;
    }
}
