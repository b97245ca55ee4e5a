package org.wagtailcart.policy.share;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against demand that is counted after its time, counted twice or kept for an unbounded number of workspaces. */
class DemandMeterTest {
    private final DemandMeter meter = new DemandMeter();

    @Test
    void demandOfTheLastSecondIsSummedForEachServiceAndWorkspace() {
        meter.recordAdmitted("s", "a", 100, false, 0);
        meter.recordAdmitted("s", "a", 50, true, 300);
        meter.recordRefused("s", "a", 10, 600);
        meter.recordAdmitted("t", "a", 1, false, 600);
        assertThat(meter.demand(1_000))
                .containsExactly(
                        new WorkspaceDemand("s", "a", 160, 150, 1, 50), new WorkspaceDemand("t", "a", 1, 1, 0, 0));
    }

    /** Guards against a rate that depends on how much of the present part of the window has passed. */
    @ParameterizedTest
    @ValueSource(longs = {5_000, 5_060, 5_124, 5_249})
    void steadyDemandHasItsRateAtAnyTime(long atMillis) {
        LongStream.rangeClosed(0, atMillis).forEach(now -> meter.recordAdmitted("s", "a", 2, false, now));
        assertThat(meter.demand(atMillis).get(0).askedCostPerSecond())
                .isWithin(5)
                .of(2_000);
    }

    @Test
    void demandEndsAfterTheWindow() {
        meter.recordAdmitted("s", "a", 100, false, 0);
        meter.recordAdmitted("s", "a", 50, false, 300);
        assertThat(meter.demand(1_250)).containsExactly(new WorkspaceDemand("s", "a", 50, 50, 0, 0));
        assertThat(meter.demand(1_500)).isEmpty();
        assertThat(meter.demand(100_000)).isEmpty();
    }

    @Test
    void requestRefusedByAllUpstreamsIsAskedOnce() {
        meter.recordAdmitted("s", "a", 100, false, 0);
        meter.recordRefusedByUpstreams("s", "a", 100, 100);
        assertThat(meter.demand(250)).containsExactly(new WorkspaceDemand("s", "a", 100, 0, 1, 0));
    }

    @Test
    void workspacesBeyondTheLimitReplaceTheOnesIdleForLongest() {
        IntStream.range(0, DemandMeter.MAX_WORKSPACES + 10)
                .forEach(i -> meter.recordAdmitted("s", "w" + i, 1, false, 0));
        assertThat(meter.demand(0)).hasSize(DemandMeter.MAX_WORKSPACES);
        assertThat(meter.demand(0).get(0).workspace()).isEqualTo("w10");
    }
}
