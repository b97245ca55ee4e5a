package org.wagtailcart.policy.quarantine;

/**
 * Prompt segment whose requests are refused.
 *
 * @param segmentId id of the segment
 * @param untilMillis monotonic time at which the quarantine ends
 * @param offences number of times that it was quarantined
 */
public record QuarantinedSegment(String segmentId, long untilMillis, int offences) {}
