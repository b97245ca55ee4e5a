package org.wagtailcart.common;

import java.util.concurrent.CompletableFuture;

/** A role of the daemon. The program starts it, drains it on SIGTERM and closes it. */
public interface RoleService extends AutoCloseable {
    /** Starts to serve. */
    void start();

    /** Returns whether a load balancer may send it new work. */
    boolean ready();

    /** Takes no new work; completes when the work in flight is finished. */
    CompletableFuture<Void> drain();

    /** Returns the state for an operator as a record that can be written as JSON. */
    Record dump();

    /** Stops at once. */
    @Override
    void close();
}
