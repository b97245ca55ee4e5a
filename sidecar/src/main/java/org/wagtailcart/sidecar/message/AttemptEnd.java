package org.wagtailcart.sidecar.message;

/**
 * Final reply to {@link AttemptRequest} after the complete response body.
 *
 * @param attemptId id of the attempt
 * @param chunks number of chunks
 * @param sizeBytes total size of the chunks
 * @param running requests that still run at the upstream
 * @param queued requests queued in the sidecar for the upstream
 */
public record AttemptEnd(String attemptId, long chunks, long sizeBytes, int running, int queued) {}
