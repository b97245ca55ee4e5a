package org.wagtailcart.control.watch;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.control.client.EngineCrashReport;
import org.wagtailcart.control.client.QuarantineState;
import org.wagtailcart.control.client.QuarantineUpdate;
import org.wagtailcart.control.client.SegmentQuarantineEntry;
import org.wagtailcart.policy.quarantine.EngineCrash;
import org.wagtailcart.policy.quarantine.QuarantinedSegment;
import org.wagtailcart.policy.quarantine.SegmentQuarantine;

/**
 * Merges what the gateways report about crashes of engines into one quarantine of prompt segments. A single gateway sees
 * only some of the crashes. Not thread safe.
 */
final class QuarantineTracker {
    private static final Logger LOG = System.getLogger(QuarantineTracker.class.getName());
    /** Limit on the suspects in a reply; later crashes bring the cause back among the latest. */
    private static final int MAX_SUSPECTS = 64;

    private final SegmentQuarantine quarantine = new SegmentQuarantine();
    private long version;
    private long quarantinedVersion;

    /** Returns the version of the state; it changes when there is a new suspect or quarantine. */
    long version() {
        return version;
    }

    /**
     * Returns whether a gateway with the given version must be told at once. New suspects wait for its next poll, since
     * each crash is reported by many gateways.
     */
    boolean isUrgentFor(long gatewayVersion) {
        return gatewayVersion < quarantinedVersion || gatewayVersion > version;
    }

    void record(QuarantineUpdate update, long nowMillis) {
        update.completions()
                .forEach(completion ->
                        quarantine.recordCompletion(completion.segmentId(), nowMillis - completion.ageMillis()));
        update.quarantined().forEach(entry -> merge(entry, nowMillis));
        update.crashes().forEach(report -> recordCrash(report, nowMillis));
    }

    private void merge(SegmentQuarantineEntry entry, long nowMillis) {
        QuarantinedSegment segment =
                new QuarantinedSegment(entry.segmentId(), nowMillis + entry.remainingMillis(), entry.offences());
        if (quarantine.merge(segment, nowMillis)) {
            quarantinedVersion = ++version;
        }
    }

    private void recordCrash(EngineCrashReport report, long nowMillis) {
        EngineCrash crash = new EngineCrash(
                report.engineId(),
                report.prompts().stream()
                        .map(EngineCrashReport.PromptSegments::segmentIds)
                        .toList(),
                nowMillis - report.ageMillis());
        version++;
        quarantine.recordCrash(crash, nowMillis).ifPresent(segment -> {
            quarantinedVersion = version;
            LogEventKind.SEGMENT_QUARANTINED.log(
                    LOG,
                    Level.WARNING,
                    segment.segmentId(),
                    segment.offences(),
                    segment.untilMillis() - nowMillis,
                    "reports of the gateways");
        });
    }

    QuarantineState state(long nowMillis) {
        List<SegmentQuarantineEntry> entries = quarantine.quarantined(nowMillis).stream()
                .map(segment -> new SegmentQuarantineEntry(
                        segment.segmentId(), segment.untilMillis() - nowMillis, segment.offences()))
                .toList();
        return new QuarantineState(quarantine.suspects(MAX_SUSPECTS), entries);
    }
}
