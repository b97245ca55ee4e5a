package org.wagtailcart.control;

/** Replicated part for idempotency keys, as the control state uses it. Called on the control thread only. */
public interface KeyStateMachine {
    /** Applies a committed command and returns its result. */
    Object apply(long index, long timeMillis, Object command);

    /** Returns the whole state in encoded form. */
    byte[] snapshot();

    /** Replaces the whole state. */
    void restore(byte[] snapshot);

    /** Answers a query. */
    Object lookup(Object query);
}
