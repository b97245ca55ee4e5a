package org.wagtailcart.sidecar.message;

/**
 * Query for the status of a non-idempotent attempt. A sidecar that never received the attempt records that it will not
 * be sent. The reply is {@link AttemptStatus}.
 *
 * @param attemptId id of the attempt
 * @param attemptNumber log index of the key reservation
 * @param epoch sidecar epoch of the reservation
 * @param upstreamId id of the upstream
 */
public record AttemptQuery(String attemptId, long attemptNumber, long epoch, String upstreamId) {}
