package org.wagtailcart.coordination;

/** State that every member rebuilds from the same committed commands. Called on the control thread only. */
public interface StateMachine {
    /**
     * Applies one committed command. Must be deterministic: the same commands give the same state on every member.
     *
     * @param index log index, grows with every command
     * @param timeMillis state machine time, milliseconds since 1970, never goes back
     * @param command encoded command
     * @return the result for the proposer
     */
    Object apply(long index, long timeMillis, byte[] command);

    /** Returns the whole state in encoded form. */
    byte[] snapshot();

    /** Replaces the whole state. */
    void restore(byte[] snapshot);
}
