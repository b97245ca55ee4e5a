package org.wagtailcart.gateway.send;

/** Whether a request went out on a connection that had carried others before. */
final class ConnectionUse {
    private volatile boolean reused;

    void noteReused() {
        reused = true;
    }

    boolean reused() {
        return reused;
    }
}
