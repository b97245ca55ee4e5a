package org.wagtailcart.policy.share;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against refusals while places are free, limits on workspaces below their share, and shares that are used after
 * their expiry.
 */
class ShareLimiterTest {
    private final ShareLimiter limiter = new ShareLimiter("g1");

    private static ShareRequest request(String workspace, double cost, boolean endangered) {
        return new ShareRequest("s", workspace, cost, endangered, 0, false, endangered);
    }

    private void limit(String workspace, double fraction) {
        limiter.applyShares(
                List.of(new ServiceCapacity("s", 100)), List.of(new WorkspaceShare("s", workspace, fraction)), 0);
    }

    private long admitted(int count, ShareRequest request, long nowMillis) {
        return IntStream.range(0, count)
                .filter(i -> limiter.decide(request, 1, nowMillis) != ShareLimiter.Decision.REFUSE)
                .count();
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.0, 0.1, 0.37, 0.5, 0.9, 1.0})
    void workspaceAboveItsShareIsAdmittedWithItsFraction(double fraction) {
        limit("greedy", fraction);
        assertThat((double) admitted(1_000, request("greedy", 100, true), 0))
                .isWithin(1.1)
                .of(1_000 * fraction);
    }

    /** Guards against one kind of request that uses up the credit of another. */
    @Test
    void smallAndLargeRequestsAreAdmittedAlike() {
        limit("greedy", 0.5);
        long[] admitted = new long[2];
        IntStream.range(0, 1_000).forEach(i -> {
            double cost = i % 2 == 0 ? 10 : 400;
            admitted[i % 2] += admitted(1, request("greedy", cost, true), 0);
        });
        assertThat((double) admitted[0]).isWithin(1.1).of(250);
        assertThat((double) admitted[1]).isWithin(1.1).of(250);
    }

    /** Guards against a queue that grows while the shares still lag behind the demand. */
    @ParameterizedTest
    @CsvSource({"0.0, 500", "0.5, 250", "1.0, 0"})
    void fewerAreAdmittedWhileTheWaitIsLong(double pressure, int expected) {
        limit("greedy", 0.5);
        assertThat((double) admitted(1_000, new ShareRequest("s", "greedy", 100, true, pressure, true, true), 0))
                .isWithin(1.1)
                .of(expected);
        assertThat(admitted(10, new ShareRequest("s", "small", 100, true, pressure, true, true), 0))
                .isEqualTo(10);
    }

    @Test
    void requestThatDoesNotWaitIsNeverRefused() {
        limit("greedy", 0.0);
        assertThat(limiter.decide(request("greedy", 100, false), 1, 0))
                .isEqualTo(ShareLimiter.Decision.ADMIT_WITH_LOWER_RANK);
    }

    @Test
    void workspaceBelowItsShareIsNotLimited() {
        limit("greedy", 0.0);
        assertThat(limiter.decide(request("small", 100, true), 1, 0)).isEqualTo(ShareLimiter.Decision.ADMIT);
    }

    /** Guards against gateways that all admit, or all refuse, the first request of a workspace. */
    @Test
    void firstRequestsOfAWorkspaceAreSpreadOverTheGateways() {
        long admitted = IntStream.range(0, 260)
                .filter(i -> {
                    ShareLimiter gateway = new ShareLimiter("gateway-" + i);
                    gateway.applyShares(List.of(), List.of(new WorkspaceShare("s", "greedy", 0.5)), 0);
                    return gateway.decide(request("greedy", 100, true), 26, 0) != ShareLimiter.Decision.REFUSE;
                })
                .count();
        assertThat((double) admitted).isWithin(30).of(130);
    }

    @Test
    void sharesExpire() {
        limit("greedy", 0.0);
        assertThat(admitted(10, request("greedy", 100, true), ShareLimiter.SHARES_VALID_MILLIS - 1))
                .isEqualTo(0);
        assertThat(admitted(10, request("greedy", 100, true), ShareLimiter.SHARES_VALID_MILLIS))
                .isEqualTo(10);
    }
}
