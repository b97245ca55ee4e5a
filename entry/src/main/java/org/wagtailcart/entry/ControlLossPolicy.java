package org.wagtailcart.entry;

import org.wagtailcart.entry.request.RequestKind;

/** What an entry does with new work while its settings are not confirmed by the control group. */
public enum ControlLossPolicy {
    /** Refuses all new work. */
    REFUSE {
        @Override
        public boolean allowsNewWork(RequestKind kind) {
            return false;
        }
    },
    /** Serves work that may be repeated and refuses the rest. */
    SERVE_IDEMPOTENT {
        @Override
        public boolean allowsNewWork(RequestKind kind) {
            return kind.retryable();
        }
    };

    /** Returns whether new work of a kind is served without confirmed settings. */
    public abstract boolean allowsNewWork(RequestKind kind);
}
