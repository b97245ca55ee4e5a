package org.wagtailcart.control.measure;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.control.Samples;
import org.wagtailcart.control.client.FleetReport;
import org.wagtailcart.control.client.GatewayReport;
import org.wagtailcart.policy.share.ServiceCapacity;
import org.wagtailcart.policy.share.WorkspaceDemand;
import org.wagtailcart.policy.share.WorkspaceShare;

/**
 * Guards against reports of demand and shares that take a notable part of a gateway's or the leader's link. Prints the
 * figures of docs/design/workspace-shares.md.
 */
class ShareMessageSizeTest {
    private static final int POLLS_PER_SECOND = 4;
    private static final int LISTS_PER_SECOND = 2;
    /** Requests to both services of deployment A in the window of a meter, in the middle 1.125 s. */
    private static final double REQUESTS_IN_WINDOW = 1.125 * (17 + 20.6 + 19.1 + 20.8 + 4.8);
    /** Link of the slowest gateway. */
    private static final double LINK_BITS_PER_SECOND = 5_250_000;

    private static int bytesOfDemand(int workspaces) {
        List<WorkspaceDemand> demand = IntStream.range(0, workspaces)
                .mapToObj(i -> new WorkspaceDemand("svc-" + i % 2, "workspa" + i, 101.5 + i, 40.25 + i, 3, 1.5 * i))
                .toList();
        return Samples.CODEC.encode(new GatewayReport(1L << 40, null, List.of(), demand, 0)).length
                - Samples.CODEC.encode(new GatewayReport(1L << 40, null, List.of(), List.of(), 0)).length;
    }

    private static int bytesOfShares(int workspaces) {
        List<WorkspaceShare> shares = IntStream.range(0, workspaces)
                .mapToObj(i -> new WorkspaceShare("svc-0", "workspa" + i, 1.0 / (i + 2)))
                .toList();
        List<ServiceCapacity> contended = List.of(new ServiceCapacity("svc-0", 3_917.25));
        return Samples.CODEC.encode(new FleetReport(1L << 40, 9, List.of(), shares, 0, contended)).length
                - Samples.CODEC.encode(new FleetReport(1L << 40, 9, List.of(), List.of(), 0, List.of())).length;
    }

    @ParameterizedTest
    @CsvSource({"26, 80", "100, 80", "250, 80"})
    void demandAndSharesTakeASmallPartOfTheLink(int gateways, int workspaces) {
        double entries = Math.min(2.0 * workspaces, REQUESTS_IN_WINDOW / gateways);
        int reportBytes = bytesOfDemand((int) Math.ceil(entries));
        int replyBytes = bytesOfShares(workspaces);
        double gatewayBits = 8.0 * (POLLS_PER_SECOND * reportBytes + LISTS_PER_SECOND * replyBytes);
        double leaderBits = gateways * gatewayBits;
        System.out.printf(
                "gateways %d: report %d bytes, reply %d bytes, gateway %.0f kbit/s, leader %.0f kbit/s%n",
                gateways, reportBytes, replyBytes, gatewayBits / 1_000, leaderBits / 1_000);
        assertThat(gatewayBits).isLessThan(0.02 * LINK_BITS_PER_SECOND);
    }

    /** Guards against a longer encoding of one entry. */
    @ParameterizedTest
    @CsvSource({"80", "400"})
    void entriesAreShort(int workspaces) {
        System.out.printf(
                "%d workspaces: report %d bytes, reply %d bytes%n",
                workspaces, bytesOfDemand(workspaces), bytesOfShares(workspaces));
        assertThat(bytesOfDemand(workspaces)).isLessThan(64 * workspaces);
        assertThat(bytesOfShares(workspaces)).isLessThan(32 * workspaces);
    }
}
