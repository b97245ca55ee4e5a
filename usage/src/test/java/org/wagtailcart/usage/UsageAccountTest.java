package org.wagtailcart.usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that are counted twice or not at all in what the platform accepts. */
class UsageAccountTest {
    private static final long TRAFFIC_MILLIS = 90_000;
    private static final long END_MILLIS = 120_000;
    private static final double LOSS = 0.1;

    private static void assertNoTwoReports(UsageModel model) {
        Map<Long, Map<String, Long>> first = new HashMap<>();
        model.accepted.forEach(window -> assertWithMessage("reports of window %s", window.window())
                .that(first.computeIfAbsent(window.window(), number -> window.countByWorkspace()))
                .isEqualTo(window.countByWorkspace()));
    }

    /** Returns the largest error of a count, in requests beyond 5% of the true number. */
    private static double maxErrorBeyondTolerance(UsageModel model) {
        Map<Long, Map<String, Long>> accepted = model.acceptedCounts();
        return model.truth.entrySet().stream()
                .flatMap(window -> window.getValue().entrySet().stream().map(count -> {
                    long reported =
                            accepted.getOrDefault(window.getKey(), Map.of()).getOrDefault(count.getKey(), 0L);
                    return Math.abs(reported - count.getValue()) - 0.05 * count.getValue();
                }))
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
    }

    /** Guards against counts that lost, repeated or reordered polls and lost responses of the platform change. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void lossAndRepetitionLeaveTheSumExact(long seed) {
        UsageModel model = new UsageModel(seed, UsageModel.Load.DENSE, LOSS, TRAFFIC_MILLIS);
        model.runUntil(END_MILLIS);
        assertThat(UsageModel.total(model.acceptedCounts())).isEqualTo(UsageModel.total(model.truth));
        assertThat(maxErrorBeyondTolerance(model)).isAtMost(0);
        assertThat(model.lateReports).isEqualTo(0);
        assertNoTwoReports(model);
    }

    /** Guards against a restarted gateway whose new counts replace or repeat those of the killed process. */
    @ParameterizedTest
    @CsvSource({"11, 0", "12, 0", "13, 0", "14, 0.1", "15, 0.1", "16, 0.1"})
    void killedGatewaysLoseOnlyWhatTheyHadNotSent(long seed, double lossShare) {
        UsageModel model = new UsageModel(seed, UsageModel.Load.DENSE, lossShare, TRAFFIC_MILLIS);
        for (long atMillis = 7_000; atMillis < TRAFFIC_MILLIS; atMillis += 9_300) {
            model.killGatewayAt(atMillis);
        }
        model.runUntil(END_MILLIS);
        assertLossWithinBound(model);
    }

    /**
     * Guards against a successor of the leader that reports an open window without the counts of live gateways.
     *
     * @param afterEndMillis time of the changes after the end of a window; shortly before 2,000 the window is about to be
     *     closed
     */
    @ParameterizedTest
    @CsvSource({"21, 1950", "22, 1950", "23, 1990", "24, 400", "25, 4100", "26, 3000"})
    void leaderChangeWithAnOpenWindowLosesNothingOfLiveGateways(long seed, long afterEndMillis) {
        UsageModel model = new UsageModel(seed, UsageModel.Load.DENSE, LOSS, TRAFFIC_MILLIS);
        for (long endMillis = 10_000; endMillis < TRAFFIC_MILLIS; endMillis += 15_000) {
            model.changeLeaderAt(endMillis + afterEndMillis);
        }
        model.runUntil(END_MILLIS);
        assertThat(UsageModel.total(model.acceptedCounts())).isEqualTo(UsageModel.total(model.truth));
        assertThat(maxErrorBeyondTolerance(model)).isAtMost(0);
        assertNoTwoReports(model);
    }

    /** Guards against errors that appear only when gateways and leaders are killed in turn. */
    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34, 35, 36})
    void killsOfGatewaysAndLeadersNeverCountTwice(long seed) {
        UsageModel model = new UsageModel(seed, UsageModel.Load.DENSE, LOSS, TRAFFIC_MILLIS);
        for (long atMillis = 6_000; atMillis < TRAFFIC_MILLIS; atMillis += 11_900) {
            model.killGatewayAt(atMillis);
            model.changeLeaderAt(atMillis + 4_100);
        }
        model.runUntil(END_MILLIS);
        assertLossWithinBound(model);
    }

    /** Guards against a leader that no gateway reaches for a time and that closes windows without counts. */
    @ParameterizedTest
    @CsvSource({"61, 20000, 30000", "62, 22000, 47000", "63, 43100, 71900"})
    void leaderWithoutContactToGatewaysWaitsForTheirCounts(long seed, long fromMillis, long untilMillis) {
        UsageModel model = new UsageModel(seed, UsageModel.Load.DENSE, 0, TRAFFIC_MILLIS);
        model.cutGatewaysOff(fromMillis, untilMillis);
        model.runUntil(END_MILLIS);
        assertThat(UsageModel.total(model.acceptedCounts())).isEqualTo(UsageModel.total(model.truth));
        assertThat(maxErrorBeyondTolerance(model)).isAtMost(0);
        assertNoTwoReports(model);
    }

    /** Guards against reports that end for as long as no gateway polls. */
    @Test
    void leaderWithoutContactClosesWindowsInTheEnd() {
        UsageModel model = new UsageModel(64, UsageModel.Load.DENSE, 0, TRAFFIC_MILLIS);
        model.cutGatewaysOff(20_000, 2 * END_MILLIS);
        model.runUntil(60_000);
        long dueWindow = (UsageModel.TRUE_START_MILLIS + 60_000 - 31_000) / UsageModel.WINDOW_MILLIS - 1;
        assertThat(model.acceptedCounts().keySet().stream().max(Long::compare)).isEqualTo(Optional.of(dueWindow));
    }

    /**
     * Guards against a window whose sum exceeds the truth, or lacks more than what killed gateways had not handed over,
     * which the sums of all windows may hide.
     */
    @ParameterizedTest
    @ValueSource(longs = {71, 72, 73, 74, 75, 76, 77, 78})
    void eachWindowLacksOnlyWhatKilledGatewaysHeld(long seed) {
        UsageModel model = new UsageModel(seed, UsageModel.Load.EXACT, LOSS, TRAFFIC_MILLIS);
        for (long atMillis = 6_000; atMillis < TRAFFIC_MILLIS; atMillis += 4_700) {
            model.killGatewayAt(atMillis);
        }
        for (long atMillis = 11_000; atMillis < TRAFFIC_MILLIS; atMillis += 11_900) {
            model.changeLeaderAt(atMillis);
        }
        model.runUntil(END_MILLIS);
        Map<Long, Map<String, Long>> accepted = model.acceptedCounts();
        model.truth.forEach((window, truth) -> {
            Map<String, Long> counts = accepted.getOrDefault(window, Map.of());
            counts.forEach((workspace, count) -> assertWithMessage("%s in %s", workspace, window)
                    .that(count)
                    .isAtMost(truth.getOrDefault(workspace, 0L)));
            assertWithMessage("missing in %s", window)
                    .that(UsageModel.total(Map.of(window, truth)) - UsageModel.total(Map.of(window, counts)))
                    .isAtMost(model.heldByKilledAtClose.getOrDefault(window, 0L));
        });
        assertNoTwoReports(model);
    }

    /** Guards against clocks of a third of the hosts that jump by 2,400 s and move requests to other windows. */
    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43, 44})
    void steppedClocksOfAThirdOfTheHostsMoveNoCounts(long seed) {
        UsageModel model = new UsageModel(seed, UsageModel.Load.DENSE, LOSS, TRAFFIC_MILLIS);
        model.stepClocks(20_000, 60_000);
        model.changeLeaderAt(33_000);
        model.runUntil(END_MILLIS);
        assertThat(UsageModel.total(model.acceptedCounts())).isEqualTo(UsageModel.total(model.truth));
        assertThat(maxErrorBeyondTolerance(model)).isAtMost(0);
        assertThat(model.lateReports).isEqualTo(0);
        assertNoTwoReports(model);
    }

    /**
     * Guards against errors at the ends of windows under the load of deployment A, where a count is about 5 and one request
     * in a wrong window exceeds the tolerance, and against polls that repeat counts without need.
     */
    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53})
    void eightyWorkspacesAtTwentySixGateways(long seed) {
        UsageModel model = new UsageModel(seed, UsageModel.Load.DEPLOYMENT_A, 0, TRAFFIC_MILLIS);
        model.runUntil(END_MILLIS);
        long requests = UsageModel.total(model.truth);
        assertThat(UsageModel.total(model.acceptedCounts())).isEqualTo(requests);
        assertThat(shareWithinTolerance(model)).isAtLeast(0.98);
        // Counts that the member has are not sent again; few change more than once between two polls.
        assertThat(model.sentCounts).isAtMost(requests);
    }

    private static double shareWithinTolerance(UsageModel model) {
        Map<Long, Map<String, Long>> accepted = model.acceptedCounts();
        return model.truth.entrySet().stream()
                .flatMap(window -> window.getValue().entrySet().stream().map(count -> {
                    long reported =
                            accepted.getOrDefault(window.getKey(), Map.of()).getOrDefault(count.getKey(), 0L);
                    return Math.abs(reported - count.getValue()) <= 0.05 * count.getValue();
                }))
                .mapToDouble(within -> within ? 1 : 0)
                .average()
                .orElse(0);
    }

    private static void assertLossWithinBound(UsageModel model) {
        long lost = UsageModel.total(model.truth) - UsageModel.total(model.acceptedCounts());
        assertThat(lost).isAtLeast(0);
        assertThat(lost).isAtMost(model.maxLost);
        assertNoTwoReports(model);
    }
}
