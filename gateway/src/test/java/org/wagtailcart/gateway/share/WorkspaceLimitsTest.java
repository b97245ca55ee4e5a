package org.wagtailcart.gateway.share;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.wagtailcart.policy.share.QuotaAccount;
import org.wagtailcart.policy.share.ServiceCapacity;
import org.wagtailcart.policy.share.ShareLimiter;
import org.wagtailcart.policy.share.ShareRequest;
import org.wagtailcart.policy.share.WorkspaceDemand;
import org.wagtailcart.policy.share.WorkspaceShare;
import org.wagtailcart.workspace.Workspace;
import org.wagtailcart.workspace.WorkspaceTable;

/**
 * Guards against limits without workspaces, and against a gateway without its leader that admits more than its part of
 * the capacity or refuses everything.
 */
class WorkspaceLimitsTest {
    private static final int GATEWAYS = 4;

    private final AtomicLong nowMillis = new AtomicLong();
    private final WorkspaceLimits limits = new WorkspaceLimits("g1", nowMillis::get);

    private static ShareRequest request(String workspace, boolean waits) {
        return new ShareRequest("s", workspace, 10, waits, 0, waits, waits);
    }

    private boolean admits(String workspace) {
        return limits.decide(request(workspace, true), GATEWAYS) != ShareLimiter.Decision.REFUSE;
    }

    /** Sends 100 requests of a greedy and 5 of a small workspace in a second; returns how many are admitted. */
    private int[] second() {
        int[] admitted = new int[2];
        for (int i = 0; i < 100; i++) {
            admitted[0] += admits("greedy") ? 1 : 0;
            admitted[1] += i % 20 == 0 && admits("small") ? 1 : 0;
            nowMillis.addAndGet(10);
            if (i % 25 == 0) {
                List<WorkspaceDemand> unused = limits.demand();
            }
        }
        return admitted;
    }

    @Test
    void callersWithoutAWorkspaceAreNeitherMeasuredNorLimited() {
        limits.applyShares(List.of(new ServiceCapacity("s", 1)), List.of(new WorkspaceShare("s", "", 0)), 0);
        assertThat(limits.decide(request("", true), GATEWAYS)).isEqualTo(ShareLimiter.Decision.ADMIT);
        assertThat(limits.demand()).isEmpty();
    }

    @Test
    void leadersFractionIsAdmitted() {
        limits.applyShares(
                List.of(new ServiceCapacity("s", 1_000)), List.of(new WorkspaceShare("s", "greedy", 0.3)), 0);
        int[] admitted = second();
        assertThat((double) admitted[0]).isWithin(1).of(30);
        assertThat(admitted[1]).isEqualTo(5);
    }

    /**
     * A gateway that is cut off knew a capacity of 1,000 for 4 gateways. It then admits a greedy workspace up to its
     * quarter less the demand of the small one, and neither refuses all nor falls back to no limit.
     */
    @Test
    void gatewayThatIsCutOffLimitsToItsPartOfTheCapacity() {
        limits.applyShares(
                List.of(new ServiceCapacity("s", 1_000)), List.of(new WorkspaceShare("s", "greedy", 0.3)), 0);
        for (int i = 0; i < 6; i++) {
            int[] unused = second();
        }
        assertThat(limits.hasShares()).isFalse();
        int[] admitted = second();
        assertThat(admitted[0] * 10.0).isWithin(30).of(1_000.0 / GATEWAYS - 50);
        assertThat(admitted[1]).isEqualTo(5);
    }

    private void install(@Nullable Double quotaPerSecond) {
        limits.install(
                new WorkspaceTable(new byte[0], List.of(new Workspace("w", List.of(), null, null, quotaPerSecond))));
    }

    @Test
    void withoutAQuotaNothingIsReportedOrRefused() {
        install(null);
        assertThat(limits.tryAdmit("w", GATEWAYS, nowMillis.get())).isEmpty();
        assertThat(limits.report()).isEmpty();
        assertThat(limits.quotaStates(GATEWAYS)).isEmpty();
    }

    /** Guards against a quota of the leader that is ignored, or that is taken for the share of a service. */
    @Test
    void partOfTheLeaderIsAdmittedAndTheDemandReported() {
        install(40.0);
        limits.applyShares(List.of(), List.of(new WorkspaceShare(QuotaAccount.SERVICE, "w", 0.5)), 0);
        assertThat(IntStream.range(0, 60)
                        .filter(i ->
                                limits.tryAdmit("w", GATEWAYS, nowMillis.get()).isEmpty())
                        .count())
                .isEqualTo(20);
        assertThat(limits.report()).hasSize(1);
        assertThat(limits.demand()).isEmpty();
        assertThat(limits.quotaRefusals()).isEqualTo(40);
        assertThat(limits.quotaStates(GATEWAYS).get(0).allowedPerSecond()).isEqualTo(20.0);
        nowMillis.addAndGet(ShareLimiter.SHARES_VALID_MILLIS);
        assertThat(limits.quotaStates(GATEWAYS)).isEmpty();
        assertThat(IntStream.range(0, 60)
                        .filter(i ->
                                limits.tryAdmit("w", GATEWAYS, nowMillis.get()).isEmpty())
                        .count())
                .isAtMost(20);
    }

    /** Guards against parts of a leader that does not know quotas and treats them as a contended service. */
    @Test
    void sharesOfALeaderWithoutQuotasAreNoAccount() {
        install(40.0);
        limits.applyShares(
                List.of(new ServiceCapacity(QuotaAccount.SERVICE, 1_000)),
                List.of(new WorkspaceShare(QuotaAccount.SERVICE, "w", 1)),
                0);
        assertThat(IntStream.range(0, 60)
                        .filter(i ->
                                limits.tryAdmit("w", GATEWAYS, nowMillis.get()).isEmpty())
                        .count())
                .isEqualTo(40 / GATEWAYS);
    }

    /** After a leader change the shares of the new leader replace those of the former one at once. */
    @Test
    void sharesOfANewLeaderReplaceThoseOfTheFormerOne() {
        limits.applyShares(
                List.of(new ServiceCapacity("s", 1_000)), List.of(new WorkspaceShare("s", "greedy", 0.3)), 0);
        int[] unused = second();
        limits.applyShares(
                List.of(new ServiceCapacity("s", 1_000)),
                List.of(new WorkspaceShare("s", "greedy", 0.6)),
                nowMillis.get());
        assertThat((double) second()[0]).isWithin(1).of(60);
        limits.applyShares(List.of(), List.of(), nowMillis.get());
        assertThat(second()[0]).isEqualTo(100);
    }

    /**
     * A gateway that has just started knows neither shares nor a capacity. It counts what it has admitted itself: the
     * small workspace is served in full, the greedy one in part.
     */
    @Test
    void restartedGatewayWithoutALeaderNeitherRefusesAllNorAdmitsAll() {
        for (int i = 0; i < 4; i++) {
            int[] admitted = second();
            assertThat(admitted[1]).isEqualTo(5);
            assertThat(admitted[0]).isGreaterThan(0);
        }
        assertThat(second()[0]).isLessThan(80);
    }

    /**
     * Guards against a gateway that is cut off and limits nothing, because its polls fail more slowly than an account
     * starts anew after a gap.
     */
    @Test
    void gatewayWhosePollsFailSlowlyLimitsByItsOwnAccount() {
        int admitted = 0;
        for (int i = 0; i < 600; i++) {
            boolean isAdmitted = admits("greedy");
            admitted += i >= 400 && isAdmitted ? 1 : 0;
            nowMillis.addAndGet(10);
            if (i % 110 == 0) {
                List<WorkspaceDemand> unused = limits.demand();
            }
        }
        assertThat(admitted).isLessThan(160);
    }
}
