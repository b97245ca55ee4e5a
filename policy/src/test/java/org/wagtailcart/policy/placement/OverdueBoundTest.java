package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against prompts that are prefilled twice because a bound is too short, and against requests held by a failed engine. */
class OverdueBoundTest {
    private static final double SLOW_TOKENS_PER_MILLI = 35.8;

    /** Guards against bounds of 0.7 to 1 s for prompts that a slow engine needs half a second for. */
    @ParameterizedTest
    @CsvSource({
        "3720, 0, 0, 17020, 1352",
        "17020, 0, 0, 17020, 2467",
        "3720, 17020, 17020, 17020, 2778",
        "0, 0, 0, 0, 700"
    })
    void theBoundFollowsTheRateTheQueueAndTheRestart(
            long tokens, long queueAtSend, long queueNow, long restartTokens, long boundMillis) {
        assertThat((double)
                        OverdueBound.prefillMillis(tokens, queueAtSend, queueNow, restartTokens, SLOW_TOKENS_PER_MILLI))
                .isWithin(1)
                .of(boundMillis);
    }

    /** Guards against a prompt that is abandoned behind four prompts which other gateways sent at the same time. */
    @Test
    void aQueueThatWasUnknownExtendsTheBound() {
        long expectedWaitMillis = Math.round((4 * 17_020 + 3_720) / SLOW_TOKENS_PER_MILLI);
        assertThat(OverdueBound.prefillMillis(3_720, 0, 4 * 17_020, 17_020, SLOW_TOKENS_PER_MILLI))
                .isGreaterThan(expectedWaitMillis);
    }

    /** Guards against an engine that stopped responding and whose growing queue postpones the bound for ever. */
    @Test
    void theExtensionIsLimited() {
        assertThat(OverdueBound.prefillMillis(3_720, 0, 10_000_000, 17_020, SLOW_TOKENS_PER_MILLI))
                .isEqualTo(OverdueBound.prefillMillis(3_720, 0, 100_000, 17_020, SLOW_TOKENS_PER_MILLI));
    }
}
