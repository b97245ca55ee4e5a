package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against engines with late stream starts that are not detected or are avoided after they recovered. */
class StreamStartDelayTest {
    @ParameterizedTest
    @CsvSource({"40, 0", "60, 0", "1060, 1000"})
    void theEstimateConvergesToTheObservedDelay(double startMillis, double delayMillis) {
        StreamStartDelay delay = new StreamStartDelay();
        IntStream.range(0, 40).forEach(i -> delay.record(startMillis, i));
        assertThat(delay.estimateMillis(40)).isWithin(30).of(delayMillis);
    }

    /** Guards against an engine that is never tried again after its link has recovered. */
    @Test
    void theEstimateDecaysWithoutObservations() {
        StreamStartDelay delay = new StreamStartDelay();
        IntStream.range(0, 40).forEach(i -> delay.record(1_060, i));
        assertThat(delay.estimateMillis(10_000)).isLessThan(20.0);
    }

    /** Guards against ignoring a stream abandoned late, and against one abandoned early that lowers the estimate. */
    @Test
    void anAbandonedStreamNeverLowersTheEstimate() {
        StreamStartDelay delay = new StreamStartDelay();
        delay.recordAbandoned(2_000, 0);
        double before = delay.estimateMillis(0);
        assertThat(before).isGreaterThan(500.0);
        delay.recordAbandoned(100, 0);
        assertThat(delay.estimateMillis(0)).isEqualTo(before);
    }
}
