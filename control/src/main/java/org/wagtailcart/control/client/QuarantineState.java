package org.wagtailcart.control.client;

import java.util.List;

/**
 * What a control member knows about prompt segments that make engines crash.
 *
 * @param suspects segments that were present at crashes; gateways report completed requests with them
 * @param quarantined segments whose requests gateways refuse
 */
public record QuarantineState(List<String> suspects, List<SegmentQuarantineEntry> quarantined) {}
