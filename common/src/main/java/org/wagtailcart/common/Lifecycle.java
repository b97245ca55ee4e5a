package org.wagtailcart.common;

/** Replicated lifecycle state of an upstream. */
public enum Lifecycle {
    /** Accepts new requests. */
    ACTIVE,
    /** Accepts no new requests; requests in flight are completed here or resumed on another upstream. */
    DRAINING,
    /** Accepts no new requests and has none in flight. */
    DRAINED,
    /** Replaced by another upstream; final. */
    REPLACED,
    /** Removed from service; final. */
    WITHDRAWN;

    /** Returns whether an upstream in this state accepts new requests. */
    public boolean acceptsNewRequests() {
        return this == ACTIVE;
    }

    /** Returns whether this state cannot be left. */
    public boolean isFinal() {
        return this == REPLACED || this == WITHDRAWN;
    }

    /** Returns whether an operator may change the state from this one to the given one. */
    public boolean canTransitionTo(Lifecycle next) {
        if (isFinal() || next == this) {
            return false;
        }
        return next != DRAINED || this == DRAINING;
    }
}
