package org.wagtailcart.wire;

/** Receives requests of peers. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles one request on a handler thread. The handler ends the exchange with {@link Exchange#finish} or
     * {@link Exchange#fail}, in this call or later. An exception thrown here fails the exchange.
     */
    void handle(Exchange exchange, Object request);
}
