package org.wagtailcart.gateway.report;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.RunState;
import org.wagtailcart.usage.UsageBatch;
import org.wagtailcart.usage.UsageCounter;

/** Guards against runs that are counted in a wrong window, twice, or though they did not run. */
class UsageMeterTest {
    private static final long WINDOW_MILLIS = 5_000;
    /** Start of a window in true time, at the monotonic time 0. */
    private static final long TRUE_START_MILLIS = 1_767_225_600_000L;

    private static final long FIRST_WINDOW = TRUE_START_MILLIS / WINDOW_MILLIS;

    private long nowMillis = 1_000;
    private final UsageMeter meter =
            new UsageMeter(new UsageCounter(WINDOW_MILLIS, 1), () -> nowMillis, new MetricRegistry());

    private void learnTrueTime() {
        meter.applyReply(TRUE_START_MILLIS + nowMillis, 0, nowMillis);
    }

    private long count(long window) {
        return meter.nextBatch().orElseThrow().windows().stream()
                .filter(counts -> counts.window() == window)
                .map(counts -> counts.countByWorkspace().getOrDefault("w", 0L))
                .findFirst()
                .orElse(0L);
    }

    private void call(long sentAtMillis, long respondedAtMillis, RunState state) {
        meter.plainSent("w", "r-1", sentAtMillis).ended(state, respondedAtMillis);
    }

    /** Guards against a call that is counted when it was sent although it waited in the queue of the replica. */
    @Test
    void plainCallBeginsAfterItsWaitInTheQueue() {
        learnTrueTime();
        call(1_000, 1_080, RunState.RAN);
        call(4_800, 5_090, RunState.RAN);
        assertThat(count(FIRST_WINDOW)).isEqualTo(1);
        assertThat(count(FIRST_WINDOW + 1)).isEqualTo(1);
    }

    /** Guards against calls at the end of a window that are moved because they took longer than the shortest one. */
    @ParameterizedTest
    @ValueSource(longs = {60, 70, 86})
    void plainCallThatDidNotWaitBeginsWhenItIsSent(long serviceMillis) {
        learnTrueTime();
        call(1_000, 1_060, RunState.RAN);
        call(4_995, 4_995 + serviceMillis, RunState.RAN);
        assertThat(count(FIRST_WINDOW)).isEqualTo(2);
    }

    @ParameterizedTest
    @CsvSource({"RAN, 1", "MAY_HAVE_RUN, 1", "NOT_RUN, 0"})
    void onlyCallsThatMayHaveRunCount(RunState state, long expected) {
        learnTrueTime();
        RunListener.PlainRun run = meter.plainSent("w", "r-1", 1_000);
        run.ended(state, 1_080);
        run.ended(RunState.MAY_HAVE_RUN, 1_090);
        assertThat(count(FIRST_WINDOW)).isEqualTo(expected);
    }

    /** Guards against a window that is closed while a call that may have begun in it has no response. */
    @Test
    void countsAreCompleteUntilTheOldestOpenCall() {
        learnTrueTime();
        RunListener.PlainRun run = meter.plainSent("w", "r-1", 4_900);
        nowMillis = 5_200;
        assertThat(meter.nextBatch().orElseThrow().completeUntilMillis()).isEqualTo(TRUE_START_MILLIS + 4_900);
        run.ended(RunState.RAN, 5_200);
        assertThat(meter.nextBatch().orElseThrow().completeUntilMillis()).isEqualTo(TRUE_START_MILLIS + 5_200);
    }

    /** Guards against requests before the first reply that are lost, or counted in the window of the reply. */
    @Test
    void runsBeforeTheFirstReplyAreCountedInTheirWindow() {
        meter.streamBegan("w", 1_000);
        meter.streamBegan("w", 5_100);
        nowMillis = 11_000;
        assertThat(meter.nextBatch()).isEqualTo(Optional.empty());
        learnTrueTime();
        assertThat(count(FIRST_WINDOW)).isEqualTo(1);
        assertThat(count(FIRST_WINDOW + 1)).isEqualTo(1);
    }

    /** Guards against counts that are sent without end, and against those that a new member does not get. */
    @Test
    void sendsWhatTheMemberDoesNotHave() {
        learnTrueTime();
        meter.streamBegan("w", 1_000);
        UsageBatch first = meter.nextBatch().orElseThrow();
        assertThat(first.windows().get(0).countByWorkspace()).isEqualTo(Map.of("w", 1L));
        meter.applyReply(0, first.sequence(), nowMillis);
        assertThat(meter.nextBatch().orElseThrow().windows()).isEmpty();
        meter.applyReply(0, 0, nowMillis);
        UsageBatch full = meter.nextBatch().orElseThrow();
        assertThat(full.afterSequence()).isEqualTo(0);
        assertThat(full.windows()).hasSize(1);
    }

    /** Guards against memory that grows with time, and against requests without a workspace. */
    @Test
    void dropsOldWindowsAndRunsWithoutWorkspace() {
        learnTrueTime();
        meter.streamBegan("w", 1_000);
        meter.streamBegan("", 1_000);
        assertThat(meter.nextBatch().orElseThrow().windows().get(0).countByWorkspace())
                .containsExactly("w", 1L);
        nowMillis = 60_000;
        assertThat(meter.nextBatch().orElseThrow().windows()).isEmpty();
    }
}
