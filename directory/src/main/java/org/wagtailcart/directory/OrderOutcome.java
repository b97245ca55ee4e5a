package org.wagtailcart.directory;

/** Outcome of an order to an engine. */
public enum OrderOutcome {
    /** The engine executes the order, or is already in the ordered state. */
    ACCEPTED,
    /** The engine is busy or its state is not the expected one; the order has no effect. */
    CONFLICT,
    /** The engine has seen a higher fencing token: this process has lost the lease. */
    FENCED,
    /** The engine does not recognize the order, or another process listens at the address. */
    REFUSED,
    /** There was no conclusive response; the engine may still execute the order. */
    UNKNOWN
}
