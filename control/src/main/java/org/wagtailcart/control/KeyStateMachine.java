package org.wagtailcart.control;

/**
 * Replicated state machine for idempotency keys, a component of {@link ControlState}. Called on the control thread
 * only.
 */
public interface KeyStateMachine {
    /** Applies a committed command and returns its result. */
    Object apply(long index, long timeMillis, Object command);

    /** Returns the full state in encoded form. */
    byte[] snapshot();

    /** Replaces the full state by a snapshot. */
    void restore(byte[] snapshot);

    /** Returns the result of a query. */
    Object lookup(Object query);
}
