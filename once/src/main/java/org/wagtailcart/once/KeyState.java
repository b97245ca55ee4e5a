package org.wagtailcart.once;

/** State of a key after a command. */
public enum KeyState {
    /** The attempt of the command holds the key, and its request may be sent. */
    RESERVED,
    /** Another attempt holds the key. */
    IN_FLIGHT,
    /** The request ran and its response is recorded. */
    COMPLETED,
    /** The outcome stays unknown. The request may have run and is not run again while the key is retained. */
    UNKNOWN,
    /** The key belongs to a request with another fingerprint. */
    FINGERPRINT_MISMATCH,
    /** The key is free: never reserved, expired, or released after proof that the attempt did not run. */
    FREE
}
