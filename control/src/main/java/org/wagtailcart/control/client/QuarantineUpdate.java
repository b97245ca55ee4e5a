package org.wagtailcart.control.client;

import java.util.List;

/**
 * What a gateway has learned about crashes of engines since its last poll.
 *
 * @param crashes crashes that it observed
 * @param completions completed requests with suspected segments
 * @param quarantined segments in quarantine at the gateway, empty if the polled member has them already
 */
public record QuarantineUpdate(
        List<EngineCrashReport> crashes,
        List<SegmentCompletion> completions,
        List<SegmentQuarantineEntry> quarantined) {
    /** Update without content. */
    public static final QuarantineUpdate NONE = new QuarantineUpdate(List.of(), List.of(), List.of());
}
