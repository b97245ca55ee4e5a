package org.wagtailcart.control.client;

/**
 * Completed request with a prompt segment that is suspected to make engines crash.
 *
 * @param segmentId id of the segment
 * @param ageMillis time since the completion
 */
public record SegmentCompletion(String segmentId, long ageMillis) {}
