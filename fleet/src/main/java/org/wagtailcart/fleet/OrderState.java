package org.wagtailcart.fleet;

/** State of the latest order of an engine. */
public enum OrderState {
    /** No order has been issued. */
    NONE,
    /** Committed, not yet started by the sidecar. */
    ISSUED,
    /** Started by a sidecar; the engine may have received it. */
    STARTED,
    /** The engine has the ordered configuration. */
    DONE,
    /** The engine does not have the ordered configuration. */
    FAILED
}
