package org.wagtailcart.control.client;

/**
 * Prompt segment in quarantine, because engines crash when they answer requests with it.
 *
 * @param segmentId id of the segment
 * @param remainingMillis time until the quarantine ends
 * @param offences number of times that the segment was quarantined
 */
public record SegmentQuarantineEntry(String segmentId, long remainingMillis, int offences) {}
