package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Urgency of long and short prompts that wait at the same engine. */
class RequestRankTest {
    /** A long manual must not lose its only chance to questions that have time. */
    @Test
    void aLongPromptGoesBeforeAShortOneOfHigherPriorityThatHasTime() {
        assertThat(RequestRank.of(2, 100)).isLessThan(RequestRank.of(1, 400));
    }

    /** With the same slack the priority of the route decides. */
    @ParameterizedTest
    @CsvSource({"0", "100", "350", "5000"})
    void withTheSameSlackThePriorityDecides(double slackMillis) {
        assertThat(RequestRank.of(0, slackMillis)).isLessThan(RequestRank.of(1, slackMillis));
        assertThat(RequestRank.of(1, slackMillis)).isLessThan(RequestRank.of(2, slackMillis));
    }

    /** Work that is late anyway must not make other work late. */
    @ParameterizedTest
    @CsvSource({"0, 0", "2, 5000", "9, 100"})
    void aRequestThatCannotBeOnTimeYieldsToAllThatCan(int priority, double slackMillis) {
        assertThat(RequestRank.of(0, -1)).isGreaterThan(RequestRank.of(priority, slackMillis));
        assertThat(RequestRank.of(priority, slackMillis)).isIn(com.google.common.collect.Range.closed(0, 9));
    }
}
