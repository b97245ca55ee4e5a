package org.wagtailcart.gateway.send;

/**
 * Timeouts of one request to an upstream.
 *
 * @param headersMillis time limit for the status and headers of the response
 * @param readMillis limit on the gap between two reads of the body
 * @param idleMillis limit on how long a pooled connection that carries the request may have been idle
 */
public record UpstreamTimeouts(long headersMillis, long readMillis, long idleMillis) {
    /** An upstream may drop an idle connection without notice; a request sent on it counts as possibly run. */
    private static final long SINGLE_RUN_IDLE_MILLIS = 4_000;

    /** Returns the timeouts of a request that may be sent again if its connection turns out to be broken. */
    public static UpstreamTimeouts repeatable(long headersMillis, long readMillis) {
        return new UpstreamTimeouts(headersMillis, readMillis, Long.MAX_VALUE);
    }

    /** Returns the timeouts of a request that must not run twice. */
    public static UpstreamTimeouts singleRun(long headersMillis, long readMillis) {
        return new UpstreamTimeouts(headersMillis, readMillis, SINGLE_RUN_IDLE_MILLIS);
    }
}
