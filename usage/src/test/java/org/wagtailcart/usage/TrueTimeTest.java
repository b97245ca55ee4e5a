package org.wagtailcart.usage;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an estimate of true time that follows wrong clocks. */
class TrueTimeTest {
    private static final long TRUE_START_MILLIS = 1_767_225_600_000L;
    private static final long STEP_MILLIS = 2_400_000;
    private static final int HOSTS = 27;

    private final TrueTime trueTime = new TrueTime();

    /** Records the clocks of all hosts every 250 ms; the first ones are stepped. */
    private void run(long fromMillis, long untilMillis, int stepped, long stepMillis) {
        for (long nowMillis = fromMillis; nowMillis < untilMillis; nowMillis += 250) {
            for (int host = 0; host < HOSTS; host++) {
                long skewMillis = host % 7 - 3 + (host < stepped ? stepMillis : 0);
                trueTime.record("h" + host, TRUE_START_MILLIS + nowMillis + skewMillis, nowMillis);
            }
            trueTime.at(nowMillis);
        }
    }

    private long errorMillis(long nowMillis) {
        return Math.abs(trueTime.at(nowMillis).orElseThrow() - TRUE_START_MILLIS - nowMillis);
    }

    @ParameterizedTest
    @ValueSource(longs = {STEP_MILLIS, -STEP_MILLIS, 2_000})
    void steppedClocksOfAThirdOfTheHostsDoNotMoveIt(long stepMillis) {
        run(0, 5_000, 0, 0);
        run(5_000, 30_000, HOSTS / 3, stepMillis);
        assertThat(errorMillis(30_000)).isAtMost(3);
        run(30_000, 40_000, 0, 0);
        assertThat(errorMillis(40_000)).isAtMost(3);
    }

    /** Guards against a first estimate from clocks that are stepped already. */
    @Test
    void startsRightWhileAThirdOfTheClocksIsStepped() {
        run(0, 3_000, HOSTS / 3, STEP_MILLIS);
        assertThat(errorMillis(3_000)).isAtMost(3);
    }

    /** Guards against a first estimate from the first few hosts, most of which may be wrong. */
    @Test
    void hasNoEstimateWhileHostsAppear() {
        for (int host = 0; host < 6; host++) {
            long wallMillis = TRUE_START_MILLIS + 500 * host + (host < 2 ? STEP_MILLIS : 0);
            trueTime.record("h" + host, wallMillis, 500 * host);
            assertThat(trueTime.at(500 * host)).isEqualTo(OptionalLong.empty());
        }
        trueTime.record("h0", TRUE_START_MILLIS + STEP_MILLIS + 3_500, 3_500);
        assertThat(errorMillis(3_500)).isAtMost(3);
    }

    /** Guards against an estimate that a short majority of wrong clocks moves, or that never follows a lasting one. */
    @Test
    void followsAMajorityOnlyAfterItLasted() {
        run(0, 5_000, 0, 0);
        run(5_000, 12_000, HOSTS, STEP_MILLIS);
        assertThat(errorMillis(12_000)).isAtMost(3);
        run(12_000, 20_000, HOSTS, STEP_MILLIS);
        assertThat(errorMillis(20_000)).isAtLeast(STEP_MILLIS - 3);
    }
}
