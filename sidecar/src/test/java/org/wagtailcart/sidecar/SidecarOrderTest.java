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

/** Orders through a sidecar to an embedded engine. */
class SidecarOrderTest {
    private static final EngineTarget DECODE = new EngineTarget(EngineRole.DECODE, "m", "", "1");
    private static final EngineTarget PREFILL = new EngineTarget(EngineRole.PREFILL, "m", "", "1");
    private static final CostModel SLOW = new CostModel(1e6, 20, 0, 0, 1e6, 64, 24);

    private SidecarFixture fixture;

    private void start(boolean checksFencing) {
        fixture = new SidecarFixture(options ->
                options.withCost(SLOW).withChecksFencing(checksFencing).withChangeMillis(200));
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    /** Guards against an order that is sent twice, guessed or left open when an answer is lost or late (R1, section 7). */
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
            // A delayed order is answered after the sidecar's limit of 2 s for such answers.
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

    /** Guards against a stream that is cut by an order, and against work that starts while one is waiting (R2). */
    @Test
    void orderWaitsForRunningStreams() throws Exception {
        start(true);
        RecordingExchange running = fixture.send(fixture.streamedCompletion("a1", 60));
        SidecarFixture.await(() -> running.events().size() > 3);
        fixture.control.issue("e", DECODE);
        assertThat(fixture.send(fixture.streamedCompletion("a2", 1)).failure().code())
                .isEqualTo(ResultCode.ENGINE_BUSY_WITH_ORDER);
        running.answer();
        SidecarFixture.await(() -> view().orderState() == OrderState.DONE);
        assertThat(fixture.engine.counters().cutByOrder()).isEqualTo(0);
    }

    /** Guards against a long stream that keeps an order or a drain waiting for ever. */
    @ParameterizedTest
    @CsvSource({"true, ENGINE_BUSY_WITH_ORDER", "false, UPSTREAM_LEAVING"})
    void longStreamIsMovedAfterTheDrainLimit(boolean byOrder, ResultCode expected) throws Exception {
        start(true);
        RecordingExchange running = fixture.send(fixture.streamedCompletion("a3", 5_000));
        SidecarFixture.await(() -> running.events().size() > 3);
        if (byOrder) {
            fixture.control.issue("e", DECODE);
        } else {
            fixture.control.change("e", old -> FakeControl.withLifecycle(old, Lifecycle.DRAINING));
        }
        assertThat(running.failure().code()).isEqualTo(expected);
        SidecarFixture.await(() -> fixture.engine.inFlight() == 0);
        assertThat(fixture.engine.counters().cutByOrder()).isEqualTo(0);
    }

    /** Guards against orders that overlap at an engine which ignores fencing tokens. */
    @Test
    void ordersAreCarriedOutOneAfterAnother() {
        start(false);
        fixture.control.issue("e", DECODE);
        SidecarFixture.await(() -> !fixture.engine.orders().isEmpty());
        long last = fixture.control.issue("e", PREFILL);
        SidecarFixture.await(() -> view().orderNumber() == last && view().orderState() == OrderState.DONE);
        assertThat(fixture.engine.orders().stream().anyMatch(OrderRecord::conflicting))
                .isFalse();
        assertThat(fixture.engine.target().role()).isEqualTo(EngineRole.PREFILL);
    }

    /** Guards against a restarted sidecar that sends an order again or guesses its end. */
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
     * Guards against a sidecar that was paused with the permission for an order and sends it after its successor's order,
     * to an engine that ignores fencing tokens (R3).
     */
    @Test
    void pausedSenderSendsNothingAfterItsSuccessor() throws Exception {
        start(false);
        SidecarRole first = fixture.role;
        fixture.control.beforeBeginReply = () -> {
            fixture.control.beforeBeginReply = () -> {};
            fixture.startRole(2);
            SidecarFixture.await(() -> view().orderState() == OrderState.FAILED);
            fixture.control.issue("e", PREFILL);
            SidecarFixture.await(() -> view().orderState() == OrderState.DONE);
        };
        fixture.control.issue("e", DECODE);
        SidecarFixture.await(() -> view().orderState() == OrderState.DONE && !waitsForPermissionOrSends(first));
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
