package org.wagtailcart.sidecar;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.fleet.OrderState;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.sidecar.order.OrderExecutor;
import org.wagtailcart.standin.CostModel;
import org.wagtailcart.standin.Fault;
import org.wagtailcart.standin.FaultKind;
import org.wagtailcart.standin.OrderRecord;

/** Guards the execution of orders by a sidecar at an embedded engine, under faults of the engine and restarts. */
class SidecarOrderTest {
    private static final EngineTarget DECODE = new EngineTarget(EngineRole.DECODE, "m", "", "1");
    private static final EngineTarget PREFILL = new EngineTarget(EngineRole.PREFILL, "m", "", "1");
    private static final CostModel SLOW = new CostModel(1e6, 20, 0, 0, 1e6, 64, 24);

    private SidecarFixture fixture;

    private void start(boolean checksFencing) {
        fixture = new SidecarFixture(options ->
                options.withCost(SLOW).withChecksFencing(checksFencing).withOrderMillis(200));
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    /**
     * Guards against an order that is sent twice, is left open or gets an assumed outcome when a response is lost or
     * late (R1, section 7).
     */
    @ParameterizedTest
    @CsvSource({
        "true, , DONE",
        "false, , DONE",
        "true, RESET_AFTER_ORDER, DONE",
        "false, RESET_AFTER_ORDER, DONE",
        "true, RESET_STATE, DONE",
        "true, DELAY_ORDER, DONE",
        "false, DELAY_ORDER, DONE",
        "true, CRASH_IN_ORDER, FAILED"
    })
    void orderOutcomeMatchesEngineState(boolean checksFencing, FaultKind fault, OrderState expected) {
        start(checksFencing);
        if (fault != null) {
            // The response to a delayed order exceeds the sidecar's timeout of 1 s for engine responses.
            fixture.engine.fault(new Fault(fault, fault == FaultKind.RESET_STATE ? 5 : 1, 0, 2_400));
        }
        fixture.control.issue("e", DECODE);
        if (fault == FaultKind.CRASH_IN_ORDER) {
            SidecarFixture.await(() -> !fixture.engine.orders().isEmpty() && !fixture.engine.running());
            fixture.engine.start();
        }
        SidecarFixture.await(() -> view().orderState() == expected);
        assertThat(fixture.engine.orders()).hasSize(1);
        assertThat(fixture.engine.target().role())
                .isEqualTo(expected == OrderState.DONE ? EngineRole.DECODE : EngineRole.MIXED);
    }

    /**
     * Guards against a stream that is aborted by an order, and against requests that start while an order is pending
     * (R2).
     */
    @Test
    void orderWaitsForRunningStreams() throws Exception {
        start(true);
        RecordingExchange stream = fixture.send(fixture.streamedCompletion("a1", 60));
        SidecarFixture.await(() -> stream.events().size() > 3);
        fixture.control.issue("e", DECODE);
        assertThat(fixture.send(fixture.streamedCompletion("a2", 1)).failure().code())
                .isEqualTo(ResultCode.ENGINE_BUSY_WITH_ORDER);
        stream.reply();
        SidecarFixture.await(() -> view().orderState() == OrderState.DONE);
        assertThat(fixture.engine.counters().cutByOrder()).isEqualTo(0);
    }

    /** Guards against a long stream that delays an order or a drain without bound. */
    @ParameterizedTest
    @CsvSource({"true, ENGINE_BUSY_WITH_ORDER", "false, UPSTREAM_LEAVING"})
    void longStreamIsMovedAfterTheDrainLimit(boolean byOrder, ResultCode expected) throws Exception {
        start(true);
        RecordingExchange stream = fixture.send(fixture.streamedCompletion("a3", 5_000));
        SidecarFixture.await(() -> stream.events().size() > 3);
        if (byOrder) {
            fixture.control.issue("e", DECODE);
        } else {
            fixture.control.change("e", old -> FakeControl.withLifecycle(old, Lifecycle.DRAINING));
        }
        assertThat(stream.failure().code()).isEqualTo(expected);
        SidecarFixture.await(() -> fixture.engine.inFlight() == 0);
        assertThat(fixture.engine.counters().cutByOrder()).isEqualTo(0);
    }

    /** Guards against overlapping orders at an engine that ignores fencing tokens. */
    @Test
    void ordersAreCarriedOutOneAfterAnother() {
        start(false);
        fixture.control.issue("e", DECODE);
        SidecarFixture.await(() -> !fixture.engine.orders().isEmpty());
        long latest = fixture.control.issue("e", PREFILL);
        SidecarFixture.await(() -> view().orderNumber() == latest && view().orderState() == OrderState.DONE);
        assertThat(fixture.engine.orders().stream().anyMatch(OrderRecord::conflicting))
                .isFalse();
        assertThat(fixture.engine.target().role()).isEqualTo(EngineRole.PREFILL);
    }

    /** Guards against a restarted sidecar that sends a started order again or assumes its outcome. */
    @Test
    void startedOrderOfAnEarlierEpochIsTakenOver() {
        start(false);
        fixture.control.issue("e", DECODE);
        SidecarFixture.await(() -> !fixture.engine.orders().isEmpty());
        fixture.role.close();
        fixture.startRole(2);
        SidecarFixture.await(() -> view().orderState() == OrderState.DONE);
        assertThat(fixture.engine.orders()).hasSize(1);
    }

    /**
     * Guards against a sidecar that is paused after it got the permission for an order, and on resuming sends the order
     * after an order of its successor to an engine that ignores fencing tokens (R3).
     */
    @Test
    void pausedSenderSendsNothingAfterItsSuccessor() throws Exception {
        start(false);
        SidecarRole predecessor = fixture.role;
        fixture.control.beforeBeginReply = () -> {
            fixture.control.beforeBeginReply = () -> {};
            fixture.startRole(2);
            SidecarFixture.await(() -> view().orderState() == OrderState.FAILED);
            fixture.control.issue("e", PREFILL);
            SidecarFixture.await(() -> view().orderState() == OrderState.DONE);
        };
        fixture.control.issue("e", DECODE);
        SidecarFixture.await(() -> view().orderState() == OrderState.DONE && !waitsForPermissionOrSends(predecessor));
        assertThat(fixture.engine.orders().stream()
                        .map(OrderRecord::fencingToken)
                        .toList())
                .isEqualTo(List.of(view().orderNumber()));
        assertThat(fixture.engine.target().role()).isEqualTo(EngineRole.PREFILL);
    }

    private static boolean waitsForPermissionOrSends(SidecarRole role) {
        return ((SidecarDump) role.dump())
                .upstreams().stream()
                        .map(SidecarDump.Upstream::orderPhase)
                        .anyMatch(phase ->
                                phase == OrderExecutor.Phase.BEGINNING || phase == OrderExecutor.Phase.SENDING);
    }

    private UpstreamView view() {
        return fixture.control.upstream("e").orElseThrow();
    }
}
