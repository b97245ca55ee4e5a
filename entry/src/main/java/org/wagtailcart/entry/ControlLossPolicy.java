package org.wagtailcart.entry;

import org.wagtailcart.entry.request.RequestKind;

/** Policy of an entry for new work while its settings are not confirmed by the control group. */
public enum ControlLossPolicy {
    /** Rejects all new work. */
    REFUSE {
        @Override
        public boolean allowsNewWork(RequestKind kind) {
            return false;
        }
    },
    /** Serves retryable requests and rejects all others. */
    SERVE_IDEMPOTENT {
        @Override
        public boolean allowsNewWork(RequestKind kind) {
            return kind.retryable();
        }
    };

    /** Returns whether new requests of a kind are served without confirmed settings. */
    public abstract boolean allowsNewWork(RequestKind kind);
}
