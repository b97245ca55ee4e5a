package org.wagtailcart.usage;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against windows that are closed too early, never, or reported in the wrong order. */
class UsagePlannerTest {
    private static final long WINDOW_MILLIS = 5_000;
    private static final long LATE_MILLIS = 10_000;
    private static final long WINDOW = 353_445_120;
    private static final long END_MILLIS = (WINDOW + 1) * WINDOW_MILLIS;

    private static final OptionalLong CONTACT = OptionalLong.of(0);

    private final UsagePlanner planner = new UsagePlanner(WINDOW_MILLIS, LATE_MILLIS);

    /** State in which all windows up to one are closed and reported. */
    private static UsageState closedThrough(long window) {
        return LongStream.rangeClosed(window - 3, window)
                .boxed()
                .reduce(
                        UsageState.EMPTY,
                        (state, closed) -> state.apply(new CloseUsageWindow(closed, Map.of()))
                                .apply(new MarkUsageReported(closed)),
                        (first, second) -> second);
    }

    private static UsageObservation observation(long trueMillis, long completeUntilMillis) {
        return new UsageObservation(
                1_000_000, OptionalLong.of(trueMillis), 0, CONTACT, completeUntilMillis, OptionalLong.empty());
    }

    @ParameterizedTest
    @CsvSource({"1999, 0, false", "2000, 0, true", "4999, -1, false", "5000, -1, true"})
    void waitsForGatewaysOnlyUntilTheLongGrace(long afterEndMillis, long completeAfterEndMillis, boolean closes) {
        UsagePlan plan = planner.plan(
                observation(END_MILLIS + afterEndMillis, END_MILLIS + completeAfterEndMillis),
                closedThrough(WINDOW - 1));
        assertThat(plan.close().isPresent()).isEqualTo(closes);
    }

    /** Guards against a window that a leader closes before the gateways have sent it their counts. */
    @ParameterizedTest
    @CsvSource({"4499, 0, false", "4500, 0, true", "4499, -1, false", "4500, -1, true"})
    void newLeaderCollectsCountsFirst(long observedMillis, long completeAfterEndMillis, boolean closes) {
        UsageObservation observation = new UsageObservation(
                1_000_000,
                OptionalLong.of(END_MILLIS + 8_000),
                1_000_000 - observedMillis,
                CONTACT,
                END_MILLIS + completeAfterEndMillis,
                OptionalLong.empty());
        assertThat(planner.plan(observation, closedThrough(WINDOW - 1)).close().isPresent())
                .isEqualTo(closes);
    }

    /** Guards against short windows that are never closed while no gateway polls, since they are passed over first. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 2_500, 5_000})
    void windowsAreClosedWithoutContact(long windowMillis) {
        UsagePlanner planner = new UsagePlanner(windowMillis, LATE_MILLIS);
        long closed = LongStream.rangeClosed(0, 60)
                .filter(second -> planner.plan(
                                new UsageObservation(
                                        10_000 + 1_000 * second,
                                        OptionalLong.of(END_MILLIS + 1_000 * second),
                                        0,
                                        OptionalLong.empty(),
                                        Long.MIN_VALUE,
                                        OptionalLong.empty()),
                                UsageState.EMPTY)
                        .close()
                        .isPresent())
                .count();
        assertThat(closed).isGreaterThan(0);
    }

    /** Guards against windows that stay open because a wrong estimate of true time closed a later one. */
    @Test
    void windowClosedInTheFutureDoesNotKeepOthersOpen() {
        UsageState state = closedThrough(WINDOW - 1).apply(new CloseUsageWindow(WINDOW + 480, Map.of("hule930", 1L)));
        UsagePlan plan = planner.plan(observation(END_MILLIS + 2_000, END_MILLIS), state);
        assertThat(plan.close()).isEqualTo(OptionalLong.of(WINDOW));
        assertThat(plan.report().isEmpty()).isTrue();
    }

    /**
     * Guards against windows that a wrong true time has closed in the future and that, once removed, make the real ones
     * count as closed, push them out, or are closed again with other counts.
     */
    @ParameterizedTest
    @CsvSource({"13, true", "480, true", "13, false", "480, false"})
    void windowsRemovedInTheFutureLeaveRealOnesOpen(int wrongWindows, boolean reported) {
        UsageState state = closedThrough(WINDOW - 1);
        for (long window = WINDOW + 480; window < WINDOW + 480 + wrongWindows; window++) {
            state = state.apply(new CloseUsageWindow(window, Map.of("hule930", 1L)));
            state = reported ? state.apply(new MarkUsageReported(window)) : state;
        }
        for (long window = WINDOW; window < WINDOW + 100; window++) {
            long endMillis = (window + 1) * WINDOW_MILLIS;
            assertThat(planner.plan(observation(endMillis + 2_000, endMillis), state)
                            .close())
                    .isEqualTo(OptionalLong.of(window));
            state = state.apply(new CloseUsageWindow(window, Map.of("hule930", window)));
            UsagePlan plan = planner.plan(observation(endMillis + 2_100, endMillis), state);
            assertThat(plan.report().orElseThrow().countByWorkspace()).containsExactly("hule930", window);
            state = state.apply(new MarkUsageReported(window));
        }
        for (long window = WINDOW + 480; window < WINDOW + 480 + wrongWindows; window++) {
            assertThat(state.apply(new CloseUsageWindow(window, Map.of("hule930", 2L))))
                    .isEqualTo(state);
        }
        assertThat(state.apply(new CloseUsageWindow(WINDOW, Map.of("hule930", 2L))))
                .isEqualTo(state);
    }

    /** Guards against state that grows with each error of true time, and against removed windows that are closed again. */
    @Test
    void removedWindowsFarApartTakeBoundedSpace() {
        UsageState state = UsageState.EMPTY;
        for (long window = 0; window < 100_000; window += 100) {
            state = state.apply(new CloseUsageWindow(window, Map.of())).apply(new MarkUsageReported(window));
        }
        assertThat(state.removed()).hasSize(UsageState.MAX_RANGES);
        for (long window = 0; window < 100_000; window += 100) {
            assertThat(state.apply(new CloseUsageWindow(window, Map.of("hule930", 2L))))
                    .isEqualTo(state);
        }
    }

    /** Guards against a backlog that makes the reports late that could still be in time. */
    @Test
    void reportsWindowsThatAreInTimeFirst() {
        UsageState state = UsageState.EMPTY;
        for (long window = WINDOW - 6; window <= WINDOW; window++) {
            state = state.apply(new CloseUsageWindow(window, Map.of()));
        }
        UsagePlan plan = planner.plan(observation(END_MILLIS + 2_000, END_MILLIS), state);
        assertThat(plan.report().orElseThrow().window()).isEqualTo(WINDOW - 1);
        UsageState later = state.apply(new MarkUsageReported(WINDOW - 1)).apply(new MarkUsageReported(WINDOW));
        assertThat(planner.plan(observation(END_MILLIS + 2_000, END_MILLIS), later)
                        .report()
                        .orElseThrow()
                        .window())
                .isEqualTo(WINDOW - 6);
    }

    /** Guards against state that grows while the platform is down, and against removed windows that are closed again. */
    @Test
    void stateIsBoundedAndRemovedWindowsStayClosed() {
        UsageState state = UsageState.EMPTY;
        for (long window = 0; window < 1_000; window++) {
            state = state.apply(new CloseUsageWindow(window, Map.of("hule930", window)));
        }
        assertThat(state.windows()).hasSize(UsageState.MAX_WINDOWS);
        assertThat(state.apply(new CloseUsageWindow(5, Map.of("hule930", 9L)))).isEqualTo(state);
        for (long window = 0; window < 1_000; window++) {
            state = state.apply(new MarkUsageReported(window));
        }
        assertThat(state.windows()).hasSize(UsageState.MAX_REPORTED);
        assertThat(state.find(999).orElseThrow().countByWorkspace()).containsExactly("hule930", 999L);
    }

    /**
     * Guards against a first estimate of true time that is too late and keeps all windows open, or too early and closes
     * windows before the start.
     */
    @ParameterizedTest
    @ValueSource(longs = {480, -480, 0})
    void firstWindowFollowsABetterTrueTime(long windowsTooLate) {
        UsagePlanner started = new UsagePlanner(WINDOW_MILLIS, LATE_MILLIS);
        long startMillis = END_MILLIS - 1_000;
        for (long nowMillis = 0; nowMillis < 12_000; nowMillis += 100) {
            long errorMillis = nowMillis < 2_000 ? windowsTooLate * WINDOW_MILLIS : 0;
            long trueMillis = startMillis + nowMillis + errorMillis;
            OptionalLong close = started.plan(
                            new UsageObservation(
                                    nowMillis,
                                    OptionalLong.of(trueMillis),
                                    0,
                                    CONTACT,
                                    trueMillis,
                                    OptionalLong.empty()),
                            UsageState.EMPTY)
                    .close();
            assertThat(close).isEqualTo(nowMillis < 4_500 ? OptionalLong.empty() : OptionalLong.of(WINDOW));
        }
    }

    /** Guards against windows without traffic before the first one, and against a gap after an outage of all leaders. */
    @Test
    void closesNoWindowBeforeTheFirstAndCatchesUpAfterAGap() {
        assertThat(planner.plan(observation(END_MILLIS + 2_000, END_MILLIS), UsageState.EMPTY)
                        .close()
                        .isPresent())
                .isFalse();
        UsagePlan afterGap =
                planner.plan(observation(END_MILLIS + 200_000, END_MILLIS + 200_000), closedThrough(WINDOW - 1));
        assertThat(afterGap.close()).isEqualTo(OptionalLong.of(WINDOW + 41 - UsagePlanner.MAX_OPEN_WINDOWS));
    }
}
