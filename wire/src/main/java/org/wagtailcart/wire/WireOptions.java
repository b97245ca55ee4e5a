package org.wagtailcart.wire;

/**
 * Limits of connections between processes.
 *
 * @param maxFrameBytes largest frame accepted or sent
 * @param pingIntervalMillis time between PINGs while an exchange is open
 * @param idlePingIntervalMillis time between PINGs while none is open
 * @param pongTimeoutMillis time within which a PING must be answered, else the connection counts as silent
 * @param connectTimeoutMillis time within which a connection must be established
 * @param maxQueuedBytes bytes that may wait to be written before the connection counts as silent
 */
public record WireOptions(
        int maxFrameBytes,
        long pingIntervalMillis,
        long idlePingIntervalMillis,
        long pongTimeoutMillis,
        long connectTimeoutMillis,
        long maxQueuedBytes) {
    /** Returns the options of production. */
    public static WireOptions standard() {
        return new WireOptions(4 << 20, 1_000, 10_000, 4_000, 2_000, 32 << 20);
    }

    /** Returns options that notice a silent connection within two seconds, for hosts a few milliseconds apart. */
    public static WireOptions lowLatency() {
        return new WireOptions(4 << 20, 400, 2_000, 1_200, 800, 32 << 20);
    }
}
