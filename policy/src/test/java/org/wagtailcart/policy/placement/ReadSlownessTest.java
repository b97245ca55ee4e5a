package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is learned of engines that read prompts slowly. */
class ReadSlownessTest {
    @ParameterizedTest
    @CsvSource({"300, 300, 1", "500, 300, 1", "1440, 300, 4", "200, 20, 1"})
    void onlyLongReadingsAndAGreatSlownessCount(double actualMillis, double estimatedMillis, double slowness) {
        ReadSlowness reading = new ReadSlowness();
        IntStream.range(0, 40).forEach(i -> reading.observed(actualMillis, estimatedMillis, i));
        assertThat(reading.value(40)).isWithin(0.1).of(slowness);
    }

    /** Callers who leave a slow engine's queue must not make it look as fast as the few who were served there. */
    @Test
    void readingsThatWereGivenUpCount() {
        ReadSlowness reading = new ReadSlowness();
        IntStream.range(0, 20).forEach(i -> {
            reading.observed(300, 300, i);
            reading.givenUp(2_400, 300, i);
        });
        assertThat(reading.value(20)).isGreaterThan(2.0);
    }

    @ParameterizedTest
    @CsvSource({"300, 300, 1", "1440, 300, 4", "9000, 300, 8"})
    void aReadingThatIsNotDoneShowsHowSlowItIsAtLeast(double waitedMillis, double estimatedMillis, double slowness) {
        assertThat(ReadSlowness.ofWaiting(waitedMillis, estimatedMillis)).isEqualTo(slowness);
    }
}
