package org.wagtailcart.control;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.control.client.CommandError;
import org.wagtailcart.control.client.CommandRequest;
import org.wagtailcart.control.orders.OrderLease;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.SingleMemberLog;
import org.wagtailcart.fleet.BeginOrder;
import org.wagtailcart.fleet.FinishOrder;
import org.wagtailcart.fleet.FleetResult;
import org.wagtailcart.fleet.IssueOrder;
import org.wagtailcart.fleet.RegisterSidecar;
import org.wagtailcart.fleet.SetLifecycle;
import org.wagtailcart.routes.ReadRoutes;
import org.wagtailcart.routes.ReplaceRoutes;
import org.wagtailcart.routes.RequestLimits;
import org.wagtailcart.routes.RouteIndex;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.routes.RoutesDocument;
import org.wagtailcart.settings.ApplySettings;
import org.wagtailcart.settings.ApplySettingsResult;
import org.wagtailcart.settings.SettingsEdit;
import org.wagtailcart.usage.CloseUsageWindow;
import org.wagtailcart.usage.ClosedUsageWindow;
import org.wagtailcart.usage.MarkUsageReported;
import org.wagtailcart.usage.UsageState;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.MessageType;
import org.wagtailcart.workspace.KeyDigest;
import org.wagtailcart.workspace.KeyVerdict;
import org.wagtailcart.workspace.PresentedKey;
import org.wagtailcart.workspace.RevocationPolicy;
import org.wagtailcart.workspace.Workspace;
import org.wagtailcart.workspace.WorkspaceAuthenticator;
import org.wagtailcart.workspace.WorkspaceTable;

/** Guards against conflicting changes that are both accepted and against commands that stop the control group. */
class ControlStateTest {
    private final ControlState state = new ControlState(Samples.CODEC, new EmptyKeyStateMachine());

    private int apply(long index, Record command) {
        Object result = state.apply(index, 1, Samples.encode(command));
        return result instanceof ApplySettingsResult settings
                ? settings.codeNumber()
                : ((FleetResult) result).codeNumber();
    }

    /** Guards against keys that are off, or withdrawn keys that are valid again, after a restart from a snapshot. */
    @Test
    void workspacesAreRestoredFromASnapshotAndNeverReverted() {
        byte[] salt = KeyDigest.newSalt();
        String kept = KeyDigest.of(salt, "kept");
        RouteTable withdrawn = table(7, salt, List.of(kept));
        state.apply(1, 1, Samples.encode(new ReplaceRoutes(withdrawn, "document".getBytes(StandardCharsets.UTF_8))));
        ControlState restarted = new ControlState(Samples.CODEC, new EmptyKeyStateMachine());
        restarted.restore(state.snapshot());
        RouteTable older = table(6, salt, List.of(kept, KeyDigest.of(salt, "withdrawn")));
        restarted.apply(2, 1, Samples.encode(new ReplaceRoutes(older, new byte[0])));
        WorkspaceAuthenticator authenticator =
                new RouteIndex(restarted.routes()).authenticator().orElseThrow();
        assertThat(authenticator
                        .decide(PresentedKey.of("kept"), true, 0, RevocationPolicy.LENIENT)
                        .workspace())
                .hasValue(new Workspace("hule", List.of(kept), 1, 3, 0.5));
        assertThat(authenticator
                        .decide(PresentedKey.of("withdrawn"), true, 0, RevocationPolicy.LENIENT)
                        .verdict())
                .isEqualTo(KeyVerdict.UNKNOWN);
        assertThat(((RoutesDocument) restarted.lookup(new ReadRoutes("o"))).document())
                .isEqualTo("document".getBytes(StandardCharsets.UTF_8));
    }

    private static RouteTable table(long version, byte[] salt, List<String> digests) {
        return new RouteTable(
                version,
                List.of(),
                List.of(),
                RequestLimits.DEFAULT,
                new WorkspaceTable(salt, List.of(new Workspace("hule", digests, 1, 3, 0.5))));
    }

    /** Guards against two operators whose concurrent changes of the same revision are both accepted. */
    @Test
    @Timeout(60)
    void oneOfRacingOperatorsWins() {
        try (SingleMemberLog log = new SingleMemberLog(new Member("c1", 1, new Address("127.0.0.1", 1), true), state)) {
            for (int round = 0; round < 50; round++) {
                long revision = round;
                List<CompletableFuture<Object>> racing = IntStream.range(0, 8)
                        .parallel()
                        .mapToObj(operator -> log.propose(Samples.encode(new ApplySettings(
                                revision + "-" + operator,
                                "op" + operator,
                                revision,
                                List.of(SettingsEdit.set("/a", "queue-limit", String.valueOf(operator)))))))
                        .toList();
                List<Integer> codes = racing.stream()
                        .map(future -> ((ApplySettingsResult) future.join()).codeNumber())
                        .toList();
                assertThat(codes.stream().filter(code -> code == 0)).hasSize(1);
                assertThat(codes.stream().filter(code -> code == ResultCode.REVISION_CONFLICT.number()))
                        .hasSize(7);
                assertThat(state.published().settings().current().revision()).isEqualTo(round + 1);
            }
        }
    }

    /**
     * Guards against a model that loses its last engine through a combination of settings and lifecycle changes, each
     * harmless alone, before and after a restart from a snapshot.
     */
    @Test
    void settingsAndLifecycleTogetherKeepAnEngine() {
        assertThat(apply(1, new ApplySettings("c1", "op", 0, Samples.engines(2))))
                .isEqualTo(0);
        assertThat(apply(2, new SetLifecycle("c2", "op", "e0", Lifecycle.DRAINING, "")))
                .isEqualTo(0);
        byte[] snapshot = state.snapshot();
        state.restore(snapshot);
        ApplySettings removal =
                new ApplySettings("c3", "op", 1, List.of(SettingsEdit.remove("/upstreams/assistant/e1")));
        assertThat(apply(3, removal)).isEqualTo(ResultCode.MODEL_WITHOUT_ENGINE.number());
        assertThat(apply(4, new SetLifecycle("c4", "op", "e0", Lifecycle.ACTIVE, "")))
                .isEqualTo(0);
        ApplySettings again = new ApplySettings("c5", "op", 1, removal.edits());
        assertThat(apply(5, again)).isEqualTo(0);
        assertThat(apply(6, new SetLifecycle("c6", "op", "e0", Lifecycle.WITHDRAWN, "")))
                .isEqualTo(ResultCode.MODEL_WITHOUT_ENGINE.number());
        assertThat(apply(7, removal)).isEqualTo(ResultCode.MODEL_WITHOUT_ENGINE.number());
    }

    /**
     * Guards against an engine that receives conflicting orders because its upstream is removed or its address changes
     * while an order is in progress.
     */
    @Test
    void upstreamKeepsItsAddressWhileAnOrderIsStarted() {
        assertThat(apply(1, new ApplySettings("c1", "op", 0, Samples.engines(2))))
                .isEqualTo(0);
        Address sidecar = state.published().fleet().upstreams().get("e0").sidecarAddress();
        state.apply(2, 1, Samples.encode(new RegisterSidecar("s0", 9, sidecar)));
        EngineTarget target = new EngineTarget(EngineRole.DECODE, "assistant", "", "1");
        assertThat(apply(3, new IssueOrder("c3", "e0", target, 0))).isEqualTo(0);
        assertThat(apply(4, new BeginOrder("e0", 3, 2))).isEqualTo(0);
        List<SettingsEdit> removal = List.of(SettingsEdit.remove("/upstreams/assistant/e0"));
        List<SettingsEdit> readdress = List.of(SettingsEdit.set("/upstreams/assistant/e0", "address", "10.9.9.9:8000"));
        int busy = ResultCode.ENGINE_BUSY_WITH_ORDER.number();
        assertThat(apply(5, new ApplySettings("c5", "op", 1, removal))).isEqualTo(busy);
        assertThat(apply(6, new ApplySettings("c6", "op", 1, readdress))).isEqualTo(busy);
        List<SettingsEdit> otherSidecar =
                List.of(SettingsEdit.set("/upstreams/assistant/e0", "sidecar-address", "10.9.9.9:7000"));
        assertThat(apply(7, new ApplySettings("c7", "op", 1, otherSidecar))).isEqualTo(busy);
        assertThat(apply(8, new FinishOrder("e0", 3, 2, true, target, ""))).isEqualTo(0);
        assertThat(apply(9, new ApplySettings("c9", "op", 1, removal))).isEqualTo(0);
    }

    /** Guards against an undecodable or unknown command that stops every member of the group. */
    @Test
    void damagedCommandIsRefused() {
        Object result = state.apply(1, 1, new byte[] {1, 2, 3});
        assertThat(result).isInstanceOf(CommandError.class);
        Object unknown = state.apply(2, 1, Samples.CODEC.encode(new CommandRequest(9999, new byte[0])));
        assertThat(((CommandError) unknown).codeNumber()).isEqualTo(ResultCode.UNKNOWN_MESSAGE.number());
    }

    /**
     * Guards against a window whose counts change after its close, before or after a restart, and against a snapshot of
     * a version without usage windows that cannot be read.
     */
    @Test
    void firstCloseOfAUsageWindowWins() {
        state.apply(1, 1, Samples.encode(new CloseUsageWindow(7, Map.of("hule930", 4L))));
        state.restore(state.snapshot());
        Object repeated = state.apply(2, 1, Samples.encode(new CloseUsageWindow(7, Map.of("hule930", 9L))));
        assertThat(repeated).isEqualTo(new ClosedUsageWindow(7, Map.of("hule930", 4L), false));
        state.apply(3, 1, Samples.encode(new MarkUsageReported(7)));
        state.restore(state.snapshot());
        assertThat(state.usage().windows()).containsExactly(new ClosedUsageWindow(7, Map.of("hule930", 4L), true));
    }

    /** Guards against a member that cannot read the snapshot of a version without usage windows. */
    @Test
    void olderSnapshotHasNoUsageWindows() {
        MessageCodec older = new MessageCodec(List.of(List.of(new MessageType(1, OlderSnapshot.class))));
        byte[] empty = state.snapshot();
        state.apply(1, 1, Samples.encode(new CloseUsageWindow(7, Map.of())));
        state.restore(older.encode(older.decode(1, empty)));
        assertThat(state.usage()).isEqualTo(UsageState.EMPTY);
    }

    /** Snapshot before usage windows were part of the state. */
    record OlderSnapshot(
            long appliedIndex, byte[] settings, byte[] fleet, byte[] keys, byte[] routes, OrderLease orderLease) {}
}
