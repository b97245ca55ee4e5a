package org.wagtailcart.wire;

/** Handler of requests from peers. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles one request, on a thread of the server's executor. The handler must end the exchange with
     * {@link Exchange#finish} or {@link Exchange#fail}, before it returns or later. An exception fails the exchange.
     */
    void handle(Exchange exchange, Object request);
}
