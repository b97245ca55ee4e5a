package org.wagtailcart.wire;

import org.wagtailcart.common.WagtailcartException;

/** Server side of one request. Methods may be called by any thread; calls after the end have no effect. */
public interface Exchange {
    /** Returns the remote address, for logs. */
    String peer();

    /** Sends one event of a stream of answers. */
    void send(Object event);

    /** Sends the last or only answer. */
    void finish(Object response);

    /** Ends the exchange with an error. */
    void fail(WagtailcartException error);

    /**
     * Registers an action for the case that the peer cancels or the connection ends before the exchange does. It runs at
     * most once, at once when that has already happened, on the connection's thread, and must not block.
     */
    void onCancel(Runnable action);

    /** Returns whether the peer cancelled or the connection ended. */
    boolean isCancelled();
}
