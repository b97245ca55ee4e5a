package org.wagtailcart.routes;

/** Retry semantics of the requests on a route, set by the operator. */
public enum RouteKind {
    /** Requests are idempotent. */
    SAFE {
        @Override
        public boolean retryable(boolean resumable) {
            return true;
        }
    },
    /** Requests must run at most once. */
    UNSAFE {
        @Override
        public boolean retryable(boolean resumable) {
            return false;
        }
    },
    /** The response is a stream of events; a request may run again only when the route's streams may be resumed. */
    STREAMING {
        @Override
        public boolean retryable(boolean resumable) {
            return resumable;
        }
    };

    /** Returns whether a request may run more than once. */
    public abstract boolean retryable(boolean resumable);
}
