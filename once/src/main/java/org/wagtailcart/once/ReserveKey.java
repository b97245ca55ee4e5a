package org.wagtailcart.once;

/**
 * Command: reserves a key before its request is sent.
 *
 * @param keyId the key
 * @param fingerprint hash of method, path and body
 * @param attemptId random id of the attempt; a resent command with the same id gets the first result again
 * @param upstreamId upstream that will receive the request
 * @param epoch epoch of the sidecar that will send it
 */
public record ReserveKey(KeyId keyId, String fingerprint, String attemptId, String upstreamId, long epoch) {}
