package org.wagtailcart.directory;

/** What became of an order to an engine. */
public enum OrderOutcome {
    /** The engine carries it out, or its state is already the ordered one. */
    ACCEPTED,
    /** The engine is busy or its state is not the expected one; the order has no effect. */
    CONFLICT,
    /** The engine has seen a higher fencing token: this process has lost its authority. */
    FENCED,
    /** The engine does not know the order, or another process listens at the address. */
    REFUSED,
    /** There was no answer; the engine may carry it out later. */
    UNKNOWN
}
