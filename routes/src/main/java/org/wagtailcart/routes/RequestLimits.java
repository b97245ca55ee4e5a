package org.wagtailcart.routes;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of a request head
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeoutMillis time within which a request head must arrive
 * @param idleTimeoutMillis time after which an idle connection may be closed
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits in force until the first table arrives. */
    public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4L << 20, 3_000, 15_000);
}
