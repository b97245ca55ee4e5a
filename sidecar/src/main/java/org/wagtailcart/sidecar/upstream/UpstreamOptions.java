package org.wagtailcart.sidecar.upstream;

/**
 * Limits towards upstreams.
 *
 * @param connectTimeoutMillis time within which a connection must be established
 * @param headTimeoutMillis time within which a streamed answer must begin, unless the request is a batch
 * @param batchHeadTimeoutMillis the same for a batch, which may wait in the engine
 * @param idleTimeoutMillis longest pause within a body; then the connection counts as silent
 * @param nonIdempotentGraceMillis time after the caller's deadline in which the answer to a non-idempotent request is still
 *     awaited, so that its outcome becomes known
 * @param engineApiTimeoutMillis time within which an engine must answer questions about its state and load
 */
public record UpstreamOptions(
        long connectTimeoutMillis,
        long headTimeoutMillis,
        long batchHeadTimeoutMillis,
        long idleTimeoutMillis,
        long nonIdempotentGraceMillis,
        long engineApiTimeoutMillis) {
    /** Returns the limits of production. */
    public static UpstreamOptions standard() {
        // The design page states that a silent connection is noticed within 5 s.
        return new UpstreamOptions(1_000, 5_000, 60_000, 5_000, 30_000, 2_000);
    }
}
