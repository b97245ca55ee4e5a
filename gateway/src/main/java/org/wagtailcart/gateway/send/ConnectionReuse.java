package org.wagtailcart.gateway.send;

/** Request tag that records whether the request was sent on a connection that had carried other requests. */
final class ConnectionReuse {
    private volatile boolean reused;

    void markReused() {
        reused = true;
    }

    boolean reused() {
        return reused;
    }
}
