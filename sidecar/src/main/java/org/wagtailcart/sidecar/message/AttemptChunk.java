package org.wagtailcart.sidecar.message;

/**
 * A part of the body. For a stream of server-sent events each chunk holds whole events.
 *
 * @param attemptId the attempt
 * @param sequence 0, 1, 2, ...
 * @param bytes part of the body
 */
public record AttemptChunk(String attemptId, long sequence, byte[] bytes) {}
