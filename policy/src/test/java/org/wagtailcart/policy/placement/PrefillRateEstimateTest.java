package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a learned prefill rate that follows queues, faults or single wrong samples. */
class PrefillRateEstimateTest {
    private final PrefillRateEstimate estimate = new PrefillRateEstimate();

    private void record(double tokensPerMilli, int count, long fromMillis, long intervalMillis) {
        for (int i = 0; i < count; i++) {
            estimate.record(tokensPerMilli, 1, fromMillis + i * intervalMillis);
        }
    }

    /** Guards against samples whose time depends on the queue or on fixed delays rather than on the engine. */
    @ParameterizedTest
    @CsvSource({
        "17000, 0, 480, 0, 35.4",
        "17000, 0, 200, 0, 85",
        "4000, 1000, 100, 0, 50",
        "4000, 1001, 100, 0, -1",
        "2499, 0, 50, 0, -1",
        "17000, 0, 0, 0, -1",
        "4000, 0, 90, 10, 50",
        "4000, 0, 101, 20, 49.4",
        "4000, 0, 90, 80, -1"
    })
    void onlyPrefillsThatAreMostlyOwnWorkAreSampled(
            long tokens, long queuedTokens, double elapsedMillis, double fetchMillis, double expectedTokensPerMilli) {
        assertThat(PrefillRateEstimate.sample(tokens, queuedTokens, elapsedMillis, fetchMillis)
                        .orElse(-1))
                .isWithin(0.1)
                .of(expectedTokensPerMilli);
    }

    /**
     * Guards against rates beyond the dead band from fetches of KV cache that ran beside a queued prefill, so that they took
     * no time of their own, or took no more than a tenth of the estimate.
     */
    @ParameterizedTest
    @CsvSource({"16, 0", "16, 16", "60, 0", "60, 6", "115, 0", "115, 12"})
    void aWronglyEstimatedFetchDoesNotMakeTheRateTooHigh(double estimatedMillis, double trueMillis) {
        double trueTokensPerMilli = 50;
        double elapsedMillis = (3_720 + 900) / trueTokensPerMilli + trueMillis;
        assertThat(PrefillRateEstimate.sample(3_720, 900, elapsedMillis, estimatedMillis)
                        .orElse(trueTokensPerMilli))
                .isAtMost((1 + FleetRates.DEAD_BAND) * trueTokensPerMilli);
    }

    /** Guards against a rate that samples behind hidden queues, or one with a wrongly estimated cache, determine. */
    @Test
    void samplesBehindHiddenQueuesDoNotChangeTheRate() {
        record(86, 4, 0, 300);
        record(20, 3, 1_200, 300);
        record(350, 1, 2_100, 300);
        assertThat(estimate.tokensPerMilli(2_400).orElseThrow()).isEqualTo(86);
    }

    /** Guards against a rate that is used before a single wrong sample can be outvoted. */
    @Test
    void aFewSamplesDoNotReplaceTheKnownRate() {
        estimate.recordKnown(86);
        record(20, 3, 0, 100);
        assertThat(estimate.tokensPerMilli(200).orElseThrow()).isEqualTo(86);
        record(20, 1, 300, 100);
        assertThat(estimate.tokensPerMilli(300).orElseThrow()).isEqualTo(20);
    }

    /** Guards against a fault of some seconds that lowers the rate, and against a rate that never follows a change. */
    @ParameterizedTest
    @CsvSource({"5, 86", "17, 30"})
    void aFaultOfSecondsIsIgnoredAndALastingChangeIsFollowed(int seconds, double expectedTokensPerMilli) {
        record(86, 60, 0, 333);
        record(30, 3 * seconds, 20_000, 333);
        assertThat(estimate.tokensPerMilli(20_000 + 1_000L * seconds).orElseThrow())
                .isEqualTo(expectedTokensPerMilli);
    }

    /** Guards against an engine that gets a prompt every ten seconds and never has a rate, or one that never changes. */
    @Test
    void rareSamplesMakeARate() {
        record(86, 4, 0, 10_000);
        assertThat(estimate.tokensPerMilli(40_000).orElseThrow()).isEqualTo(86);
        record(35, 4, 40_000, 10_000);
        assertThat(estimate.tokensPerMilli(80_000).orElseThrow()).isEqualTo(35);
    }

    /** Guards against an engine that loses its rate because it gets no prompts. */
    @Test
    void theLastRateStaysKnownWithoutSamples() {
        record(86, 5, 0, 300);
        assertThat(estimate.tokensPerMilli(2_000).orElseThrow()).isEqualTo(86);
        assertThat(estimate.tokensPerMilli(100_000).orElseThrow()).isEqualTo(86);
        assertThat(estimate.samples(100_000)).isEqualTo(PrefillRateEstimate.MIN_SAMPLES);
    }
}
