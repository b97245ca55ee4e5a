package org.wagtailcart.wire;

import org.wagtailcart.common.WagtailcartException;

/**
 * Server side of one request. Methods may be called from any thread; once the exchange has ended, calls that send have
 * no effect.
 */
public interface Exchange {
    /** Returns the remote address of the peer, for logs. */
    String peer();

    /** Sends one event of a streamed response. */
    void send(Object event);

    /** Sends the last or only reply and ends the exchange. */
    void finish(Object response);

    /** Sends an error and ends the exchange. */
    void fail(WagtailcartException error);

    /**
     * Registers an action that runs when the peer cancels the exchange or the connection closes before the exchange has
     * ended. The action runs at most once, on the loop's thread, and must not block. If the exchange is already
     * cancelled, it runs immediately on the calling thread.
     */
    void onCancel(Runnable action);

    /** Returns whether the peer cancelled the exchange or the connection closed before it ended. */
    boolean isCancelled();
}
