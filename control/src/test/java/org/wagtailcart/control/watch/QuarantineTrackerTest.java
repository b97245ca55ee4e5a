package org.wagtailcart.control.watch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.control.client.EngineCrashReport;
import org.wagtailcart.control.client.QuarantineUpdate;
import org.wagtailcart.control.client.SegmentCompletion;
import org.wagtailcart.control.client.SegmentQuarantineEntry;

/** Guards against a cause of crashes that no gateway recognises by itself, because each sees only some of them. */
class QuarantineTrackerTest {
    private static final String CAUSE = "cause";

    private final QuarantineTracker tracker = new QuarantineTracker();

    private static QuarantineUpdate crash(String engine, long ageMillis, String... segments) {
        EngineCrashReport.PromptSegments prompt = new EngineCrashReport.PromptSegments(List.of(segments));
        return new QuarantineUpdate(
                List.of(new EngineCrashReport(engine, List.of(prompt), ageMillis)), List.of(), List.of());
    }

    private List<String> quarantined(long nowMillis) {
        return tracker.state(nowMillis).quarantined().stream()
                .map(SegmentQuarantineEntry::segmentId)
                .toList();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 250, 3_000})
    void crashesSeenByDifferentGatewaysAddUp(long ageMillis) {
        IntStream.rangeClosed(1, 3)
                .forEach(i -> tracker.record(crash("e" + i, ageMillis, "first", CAUSE), 10_000 + i * 500L));
        assertThat(quarantined(12_000)).containsExactly(CAUSE);
    }

    /** Guards against the refusal of a segment with which only another gateway completed requests. */
    @Test
    void completedRequestAtAnotherGatewayClearsASegment() {
        for (int i = 1; i <= 12; i++) {
            long nowMillis = 10_000 + i * 2_000L;
            tracker.record(crash("e" + i, 0, "first"), nowMillis);
            tracker.record(
                    new QuarantineUpdate(List.of(), List.of(new SegmentCompletion("first", 100)), List.of()),
                    nowMillis + 500);
        }
        assertThat(quarantined(40_000)).isEmpty();
        assertThat(tracker.state(40_000).suspects()).isEmpty();
    }

    /** Guards against a new leader that lets requests through which the gateways refused under the one before. */
    @Test
    void quarantineOfTheGatewaysIsTakenOverOnce() {
        QuarantineUpdate update =
                new QuarantineUpdate(List.of(), List.of(), List.of(new SegmentQuarantineEntry(CAUSE, 60_000, 1)));
        tracker.record(update, 1_000);
        long version = tracker.version();
        tracker.record(update, 1_200);
        assertThat(tracker.version()).isEqualTo(version);
        assertThat(tracker.state(2_000).quarantined()).containsExactly(new SegmentQuarantineEntry(CAUSE, 59_000, 1));
    }

    /** Guards against gateways that learn late of a quarantine, and against one push to each for every report. */
    @Test
    void onlyAQuarantineIsUrgent() {
        tracker.record(crash("e1", 0, CAUSE), 1_000);
        tracker.record(crash("e2", 0, CAUSE), 2_000);
        long before = tracker.version();
        assertThat(tracker.isUrgentFor(0)).isFalse();
        tracker.record(crash("e3", 0, CAUSE), 3_000);
        assertThat(tracker.isUrgentFor(before)).isTrue();
        assertThat(tracker.isUrgentFor(tracker.version())).isFalse();
        tracker.record(crash("e4", 0, "other"), 4_000);
        assertThat(tracker.isUrgentFor(tracker.version() - 1)).isFalse();
        // A gateway that polled another member, or this one before it was started again, has an unrelated version.
        assertThat(tracker.isUrgentFor(tracker.version() + 1)).isTrue();
    }

    /** Guards against gateways that are not told of a suspect, or are told again and again. */
    @Test
    void versionChangesWithACrashOnly() {
        assertThat(tracker.version()).isEqualTo(0);
        tracker.record(crash("e1", 0, "first"), 1_000);
        long version = tracker.version();
        assertThat(version).isNotEqualTo(0);
        tracker.record(new QuarantineUpdate(List.of(), List.of(new SegmentCompletion("first", 0)), List.of()), 2_000);
        assertThat(tracker.version()).isEqualTo(version);
    }
}
