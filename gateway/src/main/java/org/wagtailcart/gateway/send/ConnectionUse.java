package org.wagtailcart.gateway.send;

/**
 * Use of a connection by one request: which connection it is, and how many requests it had carried before. Also a tag of
 * the HTTP client's request, by which the interceptors fill it in.
 */
public final class ConnectionUse {
    private static final long NOT_CONNECTED = -1;

    private final String requestId;
    private volatile long connectionNumber = NOT_CONNECTED;
    private volatile int earlierRequests;
    private volatile Runnable idleListener = () -> {};

    ConnectionUse(String requestId) {
        this.requestId = requestId;
    }

    /** Returns the use of a request that was never sent. */
    public static ConnectionUse none() {
        return new ConnectionUse("");
    }

    /** Returns the id of the request that the response must bear, empty if it need not bear one. */
    String requestId() {
        return requestId;
    }

    void set(long connection, int earlier) {
        earlierRequests = earlier;
        connectionNumber = connection;
    }

    /** Sets what is called when the response has ended and the connection may become idle. */
    void onIdle(Runnable listener) {
        idleListener = listener;
    }

    /** Records that the response has ended. */
    void responseEnded() {
        idleListener.run();
    }

    /** Returns the number of the connection, counted from the start of the process; -1 if there is none yet. */
    public long connectionNumber() {
        return connectionNumber;
    }

    /** Returns how many requests the connection had carried before this one; their late responses may still arrive. */
    public int earlierRequests() {
        return earlierRequests;
    }

    /** Returns whether the connection had carried other requests. */
    public boolean reused() {
        return earlierRequests > 0;
    }
}
