package org.wagtailcart.control.watch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.wagtailcart.policy.share.QuotaAccount;
import org.wagtailcart.policy.share.ServiceCapacity;
import org.wagtailcart.policy.share.WorkspaceDemand;
import org.wagtailcart.policy.share.WorkspaceShare;
import org.wagtailcart.workspace.Workspace;
import org.wagtailcart.workspace.WorkspaceTable;

/** Guards against demand that is counted twice or after its gateway has stopped, and wrong shares after a leader change. */
class DemandTrackerTest {
    private static final int GATEWAYS = 26;

    private final DemandTracker tracker = new DemandTracker();

    private static List<WorkspaceDemand> demand(double factor) {
        return List.of(
                new WorkspaceDemand("s", "greedy", factor * 900, factor * 400, factor * 5, 0),
                new WorkspaceDemand("s", "small", factor * 50, factor * 50, 0, 0));
    }

    /** Each gateway polls every 250 ms and reports its part of the demand. */
    private void poll(int gateways, long fromMillis, long toMillis) {
        for (long now = fromMillis; now <= toMillis; now += 250) {
            for (int i = 0; i < gateways; i++) {
                tracker.record("g" + i, demand(1.0 / GATEWAYS), now);
                tracker.contended(now);
            }
        }
    }

    private double greedyFraction(long nowMillis) {
        List<WorkspaceShare> shares = tracker.shares(nowMillis);
        assertThat(shares.stream().map(WorkspaceShare::workspace)).containsExactly("greedy");
        return shares.get(0).admitFraction();
    }

    @Test
    void demandOfAllGatewaysIsAddedUp() {
        poll(GATEWAYS, 0, 5_000);
        List<ServiceCapacity> contended = Objects.requireNonNull(tracker.contended(5_000));
        // The first observation covers one gateway; its weight has nearly vanished after 5 s.
        assertThat(contended.get(0).costPerSecond()).isWithin(15).of(1.05 * 450);
        assertThat(greedyFraction(5_000)).isWithin(0.02).of((1.05 * 450 - 50) / 900);
    }

    private static Workspace workspace(String name, @Nullable Integer weight, @Nullable Double quota) {
        return new Workspace(name, List.of(), null, weight, quota);
    }

    /** Guards against weights of the routing table that do not reach the shares. */
    @Test
    void sharesFollowTheWeightsOfTheTable() {
        tracker.install(new WorkspaceTable(new byte[0], List.of(workspace("three", 3, null))));
        for (long now = 0; now <= 5_000; now += 250) {
            tracker.record(
                    "g",
                    List.of(
                            new WorkspaceDemand("s", "one", 800, 200, 5, 0),
                            new WorkspaceDemand("s", "three", 800, 200, 5, 0)),
                    now);
            tracker.contended(now);
        }
        Map<String, Double> fractions = tracker.shares(5_000).stream()
                .collect(Collectors.toMap(WorkspaceShare::workspace, WorkspaceShare::admitFraction));
        assertThat(fractions.getOrDefault("three", 0.0)).isWithin(0.001).of(3 * fractions.getOrDefault("one", 0.0));
    }

    /** Guards against parts that exceed a quota, and requests of a quota that count as demand for a service. */
    @Test
    void partsOfAQuotaAddUpToItAndAreNoShares() {
        tracker.install(new WorkspaceTable(new byte[0], List.of(workspace("w", null, 40.0))));
        for (long now = 0; now <= 5_000; now += 250) {
            for (int i = 0; i < GATEWAYS; i++) {
                WorkspaceDemand demand = new WorkspaceDemand(QuotaAccount.SERVICE, "w", 5.0 * i, 2 * i, 3 * i, 0);
                tracker.record("g" + i, i == 0 ? List.of() : List.of(demand), now);
                tracker.contended(now);
            }
        }
        assertThat(tracker.contended(5_000)).isEmpty();
        assertThat(tracker.shares(5_000)).isEmpty();
        double sum = IntStream.range(0, GATEWAYS)
                .mapToDouble(i -> tracker.quotaParts("g" + i, GATEWAYS).get(0).admitFraction())
                .sum();
        assertThat(sum).isWithin(0.001).of(1);
        tracker.install(null);
        assertThat(tracker.quotaParts("g1", GATEWAYS)).isEmpty();
    }

    /** Guards against a new leader that limits by a part of the demand: the fraction is right with a few gateways. */
    @Test
    void newLeaderWithReportsOfAFewGatewaysSendsTheSameFraction() {
        poll(3, 0, 1_250);
        assertThat(greedyFraction(1_250)).isWithin(0.01).of((1.05 * 450 - 50) / 900);
    }

    @Test
    void newLeaderSaysThatItDoesNotKnowTheShares() {
        assertThat(tracker.contended(0)).isNull();
        poll(GATEWAYS, 0, 750);
        assertThat(tracker.contended(900)).isNull();
        assertThat(tracker.shares(900)).isEmpty();
    }

    /** Guards against lists of shares in each poll, and against a list that a gateway without one has to wait for. */
    @Test
    void sharesAreSentToEachGatewayTwiceASecond() {
        poll(GATEWAYS, 0, 2_000);
        assertThat(tracker.sendDue("g1", 2_000)).isTrue();
        assertThat(tracker.sendDue("g1", 2_250)).isFalse();
        assertThat(tracker.sendDue("g2", 2_250)).isTrue();
        assertThat(tracker.sendDue("g1", 2_500)).isTrue();
    }

    /** Guards against a member that leads again and mixes its former observations with the first new reports. */
    @Test
    void memberThatLeadsAgainStartsAnew() {
        poll(GATEWAYS, 0, 5_000);
        poll(3, 60_000, 60_750);
        assertThat(tracker.contended(60_900)).isNull();
        poll(3, 61_000, 61_250);
        assertThat(greedyFraction(61_250)).isWithin(0.01).of((1.05 * 450 - 50) / 900);
    }

    @Test
    void demandOfAStoppedGatewayExpires() {
        poll(GATEWAYS, 0, 5_000);
        for (long now = 5_250; now <= 5_000 + DemandTracker.RETENTION_MILLIS + 1_250; now += 250) {
            tracker.record("idle", List.of(), now);
            List<ServiceCapacity> unused = tracker.contended(now);
        }
        assertThat(tracker.contended(5_000 + DemandTracker.RETENTION_MILLIS + 1_250))
                .isEmpty();
    }
}
