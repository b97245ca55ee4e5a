package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Urgency of long and short prompts that wait at the same engine. */
class RequestRankTest {
    /** A long manual must not lose its only chance to short ones that have time; one that is late yields to them. */
    @ParameterizedTest
    @CsvSource({"0", "1", "2", "3"})
    void withinAPriorityUrgentRequestsRankBeforeLateOnes(int priority) {
        assertThat(RequestRank.of(priority, 100)).isAtMost(RequestRank.of(priority, 400));
        assertThat(RequestRank.of(priority, 400)).isLessThan(RequestRank.of(priority, -1));
    }

    /** In an overload the requests of a higher priority are served first, however long the others are. */
    @ParameterizedTest
    @CsvSource({"0", "100", "350", "5000"})
    void thePriorityOfTheRouteDecidesBetweenRoutes(double slackMillis) {
        assertThat(RequestRank.of(0, slackMillis)).isLessThan(RequestRank.of(1, 5_000));
        assertThat(RequestRank.of(1, slackMillis)).isLessThan(RequestRank.of(2, 5_000));
    }

    @ParameterizedTest
    @CsvSource({"0, -5", "9, 0", "100, 100", "0, 0"})
    void ranksStayWithinTheRangeOfTheProtocol(int priority, double slackMillis) {
        assertThat(RequestRank.of(priority, slackMillis)).isAtLeast(0);
        assertThat(RequestRank.of(priority, slackMillis)).isAtMost(RequestRank.LEAST_URGENT);
    }
}
