package org.wagtailcart.routes;

/** What the operator says of the requests on a route. */
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
    /** The answer is a stream of events; it may run again only where a stream may be resumed. */
    STREAMING {
        @Override
        public boolean retryable(boolean resumable) {
            return resumable;
        }
    };

    /** Returns whether a request may run more than once. */
    public abstract boolean retryable(boolean resumable);
}
