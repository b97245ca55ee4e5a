package org.wagtailcart.sidecar.message;

/**
 * Event with a part of the response body. Chunks of a stream of server-sent events contain complete events.
 *
 * @param attemptId id of the attempt
 * @param sequence sequence number of the chunk, starting at 0
 * @param bytes content of the chunk
 */
public record AttemptChunk(String attemptId, long sequence, byte[] bytes) {}
