package org.wagtailcart.policy.share;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against callers that return together, before the queue has drained, or too late to be served. */
class RetryAfterTest {
    @ParameterizedTest
    @CsvSource({
        // The excess drains in 400 ms; the random part is as long.
        "400, 9000, 0.0, 250, 400",
        "400, 9000, 0.5, 250, 600",
        "400, 9000, 1.0, 250, 800",
        // A third of the time left.
        "400, 1500, 1.0, 250, 500",
        // The present default is the least, also when a third of the time left is shorter.
        "400, 300, 1.0, 250, 250",
        "0, 9000, 0.0, 100, 100",
        "0, 9000, 0.5, 100, 150",
        "-50, 9000, 0.5, 100, 150",
        "10, 0, 0.5, 100, 100",
    })
    void retriesAreSpreadOverTheDrainTime(double excess, long left, double random, long least, long expected) {
        assertThat(RetryAfter.millis(excess, left, random, least)).isEqualTo(expected);
    }
}
