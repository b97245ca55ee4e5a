package org.wagtailcart.coordination;

/** Replicated state machine: every member applies the same committed commands. Called on the control thread only. */
public interface StateMachine {
    /**
     * Applies one committed command. Must be deterministic, so that the same commands give the same state on every
     * member.
     *
     * @param index log index, increases with every command
     * @param timeMillis state machine time in milliseconds since 1970, never decreases
     * @param command encoded command
     * @return the result for the proposer
     */
    Object apply(long index, long timeMillis, byte[] command);

    /** Returns the full state in encoded form. */
    byte[] snapshot();

    /** Replaces the full state by that of a snapshot. */
    void restore(byte[] snapshot);
}
