package org.wagtailcart.sidecar.message;

/**
 * The body is complete.
 *
 * @param attemptId the attempt
 * @param chunks number of chunks
 * @param sizeBytes total size of the chunks
 * @param running requests running at the upstream now
 * @param queued requests waiting in the sidecar for it now
 */
public record AttemptEnd(String attemptId, long chunks, long sizeBytes, int running, int queued) {}
