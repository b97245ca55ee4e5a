package org.wagtailcart.sidecar.order;

/** What is known after an order was sent to an engine. */
public enum SendResult {
    /** No byte of the order left this process. */
    NOT_SENT,
    /** The engine took the order. */
    ACCEPTED,
    /** The engine refused the order. */
    REFUSED,
    /** No answer; the engine may have the order or may still get it. */
    LOST
}
