package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against slow engines that are not detected, and against short queues that look like a slow engine. */
class PrefillSlowdownTest {
    @ParameterizedTest
    @CsvSource({"300, 300, 1", "500, 300, 1", "1440, 300, 4", "200, 20, 1"})
    void onlyLongPrefillsAndLargeSlowdownsCount(double actualMillis, double estimatedMillis, double slowdown) {
        PrefillSlowdown slowdownEstimate = new PrefillSlowdown();
        IntStream.range(0, 40).forEach(i -> slowdownEstimate.record(actualMillis, estimatedMillis, i));
        assertThat(slowdownEstimate.value(40)).isWithin(0.1).of(slowdown);
    }

    /** Guards against a slow engine that looks fast because only its completed prefills are counted. */
    @Test
    void abandonedPrefillsCount() {
        PrefillSlowdown slowdownEstimate = new PrefillSlowdown();
        IntStream.range(0, 20).forEach(i -> {
            slowdownEstimate.record(300, 300, i);
            slowdownEstimate.recordAbandoned(2_400, 300, i);
        });
        assertThat(slowdownEstimate.value(20)).isGreaterThan(2.0);
    }

    @ParameterizedTest
    @CsvSource({"300, 300, 1", "1440, 300, 4", "9000, 300, 8"})
    void aPendingPrefillGivesALowerBoundOfTheSlowdown(double waitedMillis, double estimatedMillis, double slowdown) {
        assertThat(PrefillSlowdown.ofPending(waitedMillis, estimatedMillis)).isEqualTo(slowdown);
    }
}
