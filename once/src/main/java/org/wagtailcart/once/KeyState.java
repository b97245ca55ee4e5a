package org.wagtailcart.once;

/** State of a key after a command. */
public enum KeyState {
    /** The command's attempt holds the key and may be sent. */
    RESERVED,
    /** Another attempt holds the key. */
    IN_FLIGHT,
    /** The request ran and its answer is recorded. */
    COMPLETED,
    /** The outcome is unknown for good; the request may have run and is never run again. */
    UNKNOWN,
    /** The key belongs to a request with another fingerprint. */
    FINGERPRINT_MISMATCH,
    /** The key is free: never reserved, or released after proof that the attempt did not run. */
    FREE
}
