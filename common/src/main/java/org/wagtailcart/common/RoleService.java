package org.wagtailcart.common;

import java.util.concurrent.CompletableFuture;

/** Service that implements one role of the daemon. The daemon starts it, and drains and closes it on SIGTERM. */
public interface RoleService extends AutoCloseable {
    /** Starts serving requests. */
    void start();

    /** Returns whether a load balancer may send new requests to this role. */
    boolean ready();

    /** Stops accepting new requests; the future completes when no request is in flight. */
    CompletableFuture<Void> drain();

    /** Returns the state of the role for operators, as a record that can be serialized to JSON. */
    Record dump();

    /** Stops the role without waiting for requests in flight. */
    @Override
    void close();
}
