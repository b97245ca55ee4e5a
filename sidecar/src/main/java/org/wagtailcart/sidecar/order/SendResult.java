package org.wagtailcart.sidecar.order;

/** Result of sending an order to an engine. */
public enum SendResult {
    /** No byte of the order left this process. */
    NOT_SENT,
    /** The engine accepted the order. */
    ACCEPTED,
    /** The engine rejected the order. */
    REFUSED,
    /** No conclusive reply; the engine may have received the order or may still receive it. */
    LOST
}
