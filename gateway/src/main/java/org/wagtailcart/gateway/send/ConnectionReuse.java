package org.wagtailcart.gateway.send;

/** Whether a request went out on a connection that had carried others before. */
final class ConnectionReuse {
    private volatile boolean reused;

    void markReused() {
        reused = true;
    }

    boolean reused() {
        return reused;
    }
}
