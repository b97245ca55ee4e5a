package org.wagtailcart.common;

/** Replicated lifecycle state of an upstream. */
public enum Lifecycle {
    /** Takes new work. */
    ACTIVE,
    /** Takes no new work; work in flight is finished or moved. */
    DRAINING,
    /** Takes no new work and has none in flight. */
    DRAINED,
    /** Another upstream took its place; final. */
    REPLACED,
    /** Removed from service; final. */
    WITHDRAWN;

    /** Returns whether an upstream in this state may receive new work. */
    public boolean acceptsNewRequests() {
        return this == ACTIVE;
    }

    /** Returns whether no later state is possible. */
    public boolean isFinal() {
        return this == REPLACED || this == WITHDRAWN;
    }

    /** Returns whether an operator may order the change from this state to the given one. */
    public boolean canTransitionTo(Lifecycle next) {
        if (isFinal() || next == this) {
            return false;
        }
        return next != DRAINED || this == DRAINING;
    }
}
