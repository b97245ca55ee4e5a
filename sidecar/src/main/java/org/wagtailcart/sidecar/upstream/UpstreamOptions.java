package org.wagtailcart.sidecar.upstream;

/**
 * Timeouts of requests to upstreams.
 *
 * @param connectTimeoutMillis timeout for establishing a connection
 * @param headTimeoutMillis timeout for the head of a streamed response, except for batch requests
 * @param batchHeadTimeoutMillis the same timeout for a batch request, which may be queued in the engine
 * @param idleTimeoutMillis longest time without data within a body before the connection is considered dead
 * @param nonIdempotentGraceMillis time after the caller's deadline for which the response to a non-idempotent request
 *     is still awaited, so that its outcome is recorded
 * @param engineApiTimeoutMillis timeout for responses of an engine to queries of its state and load and to orders
 */
public record UpstreamOptions(
        long connectTimeoutMillis,
        long headTimeoutMillis,
        long batchHeadTimeoutMillis,
        long idleTimeoutMillis,
        long nonIdempotentGraceMillis,
        long engineApiTimeoutMillis) {
    /** Returns the production timeouts. */
    public static UpstreamOptions standard() {
        // The design requires that a connection without data is detected within 5 s.
        return new UpstreamOptions(1_000, 5_000, 60_000, 5_000, 30_000, 2_000);
    }
}
