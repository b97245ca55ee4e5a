package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against wrong ranks of long and short prompts queued at the same engine. */
class RequestRankTest {
    /**
     * Guards against a long prompt that misses its target because short ones with slack go first; late ones go last.
     */
    @ParameterizedTest
    @CsvSource({"0", "1", "2", "3"})
    void withinAPriorityUrgentRequestsRankBeforeLateOnes(int priority) {
        assertThat(RequestRank.of(priority, 100)).isAtMost(RequestRank.of(priority, 400));
        assertThat(RequestRank.of(priority, 400)).isLessThan(RequestRank.of(priority, -1));
    }

    /** Guards against urgent requests that overtake those of a higher priority in an overload. */
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

    /** Guards against a rank beyond those that engines know. */
    @ParameterizedTest
    @CsvSource({"0, 1", "4, 5", "9, 9"})
    void workspaceAboveItsShareIsOneStepLower(int rank, int expected) {
        assertThat(RequestRank.lower(rank)).isEqualTo(expected);
    }
}
