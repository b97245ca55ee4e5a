package org.wagtailcart.fleet;

/**
 * Result of {@link RegisterSidecar}.
 *
 * @param codeNumber number of the result code, 0 when accepted
 * @param epoch epoch of the sidecar, a log index
 * @param message human-readable reason of a refusal, else empty
 */
public record RegisterSidecarResult(int codeNumber, long epoch, String message) {}
