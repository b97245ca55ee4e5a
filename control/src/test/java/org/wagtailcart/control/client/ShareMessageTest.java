package org.wagtailcart.control.client;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.wagtailcart.policy.placement.EngineRate;
import org.wagtailcart.policy.share.ServiceCapacity;
import org.wagtailcart.policy.share.WorkspaceDemand;
import org.wagtailcart.policy.share.WorkspaceShare;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.MessageType;

/** Guards against reports that change on the wire and against processes of two versions that do not understand each other. */
class ShareMessageTest {
    private record FormerFleetReport(
            long trueTimeMillis, long usageSequence, List<EngineRate> engineRates, List<WorkspaceShare> shares) {}

    private record FormerDemand(
            String service,
            String workspace,
            double askedCostPerSecond,
            double admittedCostPerSecond,
            double refusedPerSecond) {}

    private static final MessageCodec CODEC = new MessageCodec(List.of(List.of(
            new MessageType(1, FleetReport.class),
            new MessageType(2, WorkspaceDemand.class),
            new MessageType(3, FormerFleetReport.class),
            new MessageType(4, FormerDemand.class))));

    private static FleetReport report(@Nullable List<ServiceCapacity> contended) {
        return new FleetReport(1, 2, List.of(), List.of(new WorkspaceShare("s", "w", 0.25)), 0, contended);
    }

    @Test
    void reportsAreDecodedAsTheyWereEncoded() {
        FleetReport shares = report(List.of(new ServiceCapacity("s", 3.5)));
        assertThat(CODEC.decode(1, CODEC.encode(shares))).isEqualTo(shares);
        FleetReport noShares = shares.withoutShares();
        assertThat(CODEC.decode(1, CODEC.encode(noShares))).isEqualTo(noShares);
        WorkspaceDemand demand = new WorkspaceDemand("s", "w", 1, 2, 3, 4);
        assertThat(CODEC.decode(2, CODEC.encode(demand))).isEqualTo(demand);
    }

    /** Guards against a reply of a member without shares that is read as that nobody is limited. */
    @Test
    void processesOfTheVersionBeforeAreUnderstood() {
        FormerFleetReport former = new FormerFleetReport(1, 2, List.of(), List.of());
        assertThat(((FleetReport) CODEC.decode(1, CODEC.encode(former))).contended())
                .isNull();
        FormerDemand demand = new FormerDemand("s", "w", 1, 2, 3);
        assertThat(CODEC.decode(2, CODEC.encode(demand))).isEqualTo(new WorkspaceDemand("s", "w", 1, 2, 3, 0));
    }

    @Test
    void processesOfTheVersionBeforeUnderstandReports() {
        assertThat(CODEC.decode(3, CODEC.encode(report(List.of()))))
                .isEqualTo(new FormerFleetReport(1, 2, List.of(), List.of(new WorkspaceShare("s", "w", 0.25))));
    }
}
