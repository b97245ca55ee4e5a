package org.wagtailcart.wire;

/**
 * Limits and timeouts of connections between the system's processes.
 *
 * @param maxFrameBytes largest frame that is received or sent
 * @param pingIntervalMillis time between PINGs while an exchange is open
 * @param idlePingIntervalMillis time between PINGs while none is open
 * @param pongTimeoutMillis time within which a PONG must follow a PING, else the connection is closed as silent
 * @param connectTimeoutMillis time within which a connection must be established
 * @param maxQueuedBytes bytes that may be queued for writing before the connection is closed as silent
 */
public record WireOptions(
        int maxFrameBytes,
        long pingIntervalMillis,
        long idlePingIntervalMillis,
        long pongTimeoutMillis,
        long connectTimeoutMillis,
        long maxQueuedBytes) {
    /** Returns the default options. */
    public static WireOptions standard() {
        return new WireOptions(4 << 20, 1_000, 10_000, 4_000, 2_000, 32 << 20);
    }

    /** Returns options that detect a silent connection within two seconds, for hosts a few milliseconds apart. */
    public static WireOptions lowLatency() {
        return new WireOptions(4 << 20, 400, 2_000, 1_200, 800, 32 << 20);
    }
}
