package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is learned of engines whose streams start late. */
class StartDelayTest {
    @ParameterizedTest
    @CsvSource({"40, 0", "60, 0", "1060, 1000"})
    void theDelayComesCloseToWhatIsObserved(double startMillis, double delayMillis) {
        StartDelay delay = new StartDelay();
        IntStream.range(0, 40).forEach(i -> delay.observed(startMillis, i));
        assertThat(delay.millis(40)).isWithin(30).of(delayMillis);
    }

    /** An engine behind a link that has recovered must be tried again. */
    @Test
    void theDelayFadesWithoutObservations() {
        StartDelay delay = new StartDelay();
        IntStream.range(0, 40).forEach(i -> delay.observed(1_060, i));
        assertThat(delay.millis(10_000)).isLessThan(20.0);
    }

    /** Streams that were given up late say more than those that started before the trouble. */
    @Test
    void anAbandonedStreamNeverLowersTheEstimate() {
        StartDelay delay = new StartDelay();
        delay.recordAbandoned(2_000, 0);
        double before = delay.millis(0);
        assertThat(before).isGreaterThan(500.0);
        delay.recordAbandoned(100, 0);
        assertThat(delay.millis(0)).isEqualTo(before);
    }
}
