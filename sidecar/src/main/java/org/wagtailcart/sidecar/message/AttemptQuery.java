package org.wagtailcart.sidecar.message;

/**
 * Asks what became of a non-idempotent attempt. A sidecar that never saw it records that it will not be sent.
 *
 * @param attemptId the attempt
 * @param attemptNumber log index of the key reservation
 * @param epoch sidecar epoch of the reservation
 * @param upstreamId upstream
 */
public record AttemptQuery(String attemptId, long attemptNumber, long epoch, String upstreamId) {}
