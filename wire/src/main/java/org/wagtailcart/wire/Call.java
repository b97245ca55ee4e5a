package org.wagtailcart.wire;

/** Handle of an open request on the client side. */
@FunctionalInterface
public interface Call {
    /** Cancels the request at the peer; frames that arrive afterwards are not passed to the listener. */
    void cancel();
}
