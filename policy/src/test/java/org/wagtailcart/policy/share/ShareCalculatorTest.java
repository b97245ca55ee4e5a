package org.wagtailcart.policy.share;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against limits without contention, limits that outlast it, and a capacity that shrinks by its own limits. */
class ShareCalculatorTest {
    private final ShareCalculator calculator = new ShareCalculator();

    private void observe(long fromMillis, long toMillis, WorkspaceDemand... demand) {
        for (long now = fromMillis; now <= toMillis; now += 250) {
            calculator.observe(List.of(demand), now);
        }
    }

    private static WorkspaceDemand demand(String workspace, double asked, double admitted, double late) {
        return new WorkspaceDemand("s", workspace, asked, admitted, asked > admitted ? 1 : 0, late);
    }

    @Test
    void withoutRefusedOrLateRequestsNothingIsLimited() {
        observe(0, 5_000, demand("greedy", 1_000, 1_000, 0), demand("small", 10, 10, 0));
        assertThat(calculator.contended(5_000)).isEmpty();
        assertThat(calculator.shares(5_000)).isEmpty();
    }

    /** Guards against one refusal among many requests that sets limits for a whole service. */
    @Test
    void fewRefusalsAreNoContention() {
        observe(0, 5_000, demand("a", 1_000, 990, 0));
        assertThat(calculator.contended(5_000)).isEmpty();
    }

    @Test
    void workspaceAboveItsShareIsLimitedAndTheOthersAreNot() {
        observe(0, 5_000, demand("greedy", 900, 400, 0), demand("a", 50, 50, 0), demand("b", 50, 50, 0));
        List<WorkspaceShare> shares = calculator.shares(5_000);
        assertThat(shares).hasSize(1);
        assertThat(shares.get(0).workspace()).isEqualTo("greedy");
        assertThat(shares.get(0).admitFraction()).isWithin(0.01).of((525 - 100) / 900.0);
    }

    @Test
    void limitsEndSoonAfterTheContention() {
        observe(0, 5_000, demand("greedy", 900, 400, 0));
        observe(5_250, 6_250, demand("greedy", 900, 900, 0));
        assertThat(calculator.contended(6_250)).isEmpty();
    }

    /** Guards against a queue that grows without end because what is admitted counts as capacity. */
    @Test
    void capacityFallsBelowWhatIsAdmittedWhileAllIsLate() {
        observe(0, 5_000, demand("a", 400, 400, 400));
        assertThat(calculator.contended(5_000).get(0).costPerSecond())
                .isWithin(1)
                .of(0.55 * 400);
    }

    /** Guards against limits that keep the admitted cost, and with it the estimate of the capacity, low forever. */
    @Test
    void capacityRisesWhileNothingIsLate() {
        observe(0, 5_000, demand("a", 400, 100, 0));
        assertThat(calculator.contended(5_000).get(0).costPerSecond()).isGreaterThan(100.0);
    }

    @Test
    void numberOfSharesInAReplyIsBounded() {
        observe(
                0,
                5_000,
                IntStream.range(0, 2 * ShareCalculator.MAX_SHARES)
                        .mapToObj(i -> demand("w" + i, 10, 1, 0))
                        .toArray(WorkspaceDemand[]::new));
        assertThat(calculator.shares(5_000)).hasSize(ShareCalculator.MAX_SHARES);
    }
}
