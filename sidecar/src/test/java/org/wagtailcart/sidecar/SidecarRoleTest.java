package org.wagtailcart.sidecar;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.common.Priority;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.sidecar.message.AttemptEnd;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.message.AttemptStatus;
import org.wagtailcart.standin.CostModel;
import org.wagtailcart.standin.Fault;
import org.wagtailcart.standin.FaultKind;
import org.wagtailcart.standin.Tokens;

/** Guards the forwarding of requests by a sidecar to an embedded engine and service, including their faults. */
class SidecarRoleTest {
    /** An engine step takes 20 ms, so that a long stream is still running when the test acts on it. */
    private static final CostModel SLOW = new CostModel(1e6, 20, 0, 0, 1e6, 64, 24);

    private SidecarFixture fixture;

    @BeforeEach
    void start() {
        fixture = new SidecarFixture(options -> options.withCost(SLOW));
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    /** Guards against a stream that is forwarded incompletely or with wrong counts. */
    @Test
    void forwardsStreamWithCounts() throws Exception {
        RecordingExchange exchange = fixture.send(fixture.streamedCompletion("a1", 50));
        AttemptEnd end = (AttemptEnd) exchange.reply();
        assertThat(exchange.body()).contains(Tokens.token("p", 49));
        assertThat(exchange.body()).endsWith("data: [DONE]\n\n");
        assertThat(end.sizeBytes()).isEqualTo(exchange.body().length());
        assertThat(end.chunks()).isEqualTo(exchange.events().size() - 1);
    }

    /** Guards against a complete response that is modified when forwarded. */
    @Test
    void forwardsCompleteResponse() throws Exception {
        RecordingExchange exchange = fixture.send(fixture.unstreamedCompletion("a2", 5));
        exchange.reply();
        assertThat(exchange.started().status()).isEqualTo(200);
        assertThat(exchange.body()).contains(Tokens.text("p", 0, 5));
    }

    /** Guards against a faulty engine response that is reported as complete, and against an unbounded wait (R4). */
    @ParameterizedTest
    @CsvSource({
        "true, RESET_BEFORE, UPSTREAM_FAILED",
        "true, TRUNCATE, STREAM_INCOMPLETE",
        "true, CRASH, STREAM_INCOMPLETE",
        "true, CROSS, ANSWER_MISMATCH",
        "true, SILENT, UPSTREAM_TIMEOUT",
        "true, STALL, UPSTREAM_TIMEOUT",
        "false, RESET_AFTER, UPSTREAM_FAILED",
        "false, TRUNCATE, STREAM_INCOMPLETE",
        "false, CROSS, ANSWER_MISMATCH"
    })
    void faultyEngineResponseFails(boolean streamed, FaultKind kind, ResultCode expected) throws Exception {
        fixture.engine.fault(Fault.once(kind));
        AttemptRequest request =
                streamed ? fixture.streamedCompletion("f1", 20) : fixture.unstreamedCompletion("f1", 20);
        WagtailcartException failure = fixture.send(request).failure();
        assertThat(failure.code()).isEqualTo(expected);
        assertThat(failure.runState()).isEqualTo(RunState.MAY_HAVE_RUN);
    }

    /** Guards against a stalled batch body that is detected only after the longer timeout for the head of a batch. */
    @Test
    void silentBodyOfBatchFails() throws Exception {
        fixture.engine.fault(Fault.once(FaultKind.STALL));
        AttemptRequest normal = fixture.streamedCompletion("b1", 20);
        AttemptRequest batch = new AttemptRequest(
                "b1",
                0,
                0,
                "e",
                normal.revision(),
                600_000,
                Priority.BATCH,
                "POST",
                normal.path(),
                normal.headers(),
                normal.body());
        RecordingExchange exchange = fixture.send(batch);
        assertThat(exchange.failure().code()).isEqualTo(ResultCode.UPSTREAM_TIMEOUT);
        assertThat(exchange.events()).isNotEmpty();
    }

    /** Guards against responses of two requests that are delivered to the wrong callers (R4). */
    @Test
    void swappedResponsesOfTwoRequestsBothFail() throws Exception {
        fixture.engine.fault(new Fault(FaultKind.CROSS, 2, 0, 900));
        RecordingExchange first = fixture.send(fixture.streamedCompletion("x1", 5));
        RecordingExchange second = fixture.send(fixture.streamedCompletion("x2", 5));
        assertThat(first.failure().code()).isEqualTo(ResultCode.ANSWER_MISMATCH);
        assertThat(second.failure().code()).isEqualTo(ResultCode.ANSWER_MISMATCH);
        assertThat(first.events()).isEmpty();
    }

    /** Guards against a repeated event of the engine that is forwarded twice. */
    @Test
    void repeatedEventIsDropped() throws Exception {
        fixture.engine.fault(Fault.once(FaultKind.DUPLICATE));
        RecordingExchange exchange = fixture.send(fixture.streamedCompletion("d1", 10));
        exchange.reply();
        assertThat(exchange.body().split("id: ", -1)).hasLength(11);
    }

    /** Guards against a non-idempotent call that runs again when its message is repeated (R6). */
    @Test
    void repeatedFrameRunsOnce() throws Exception {
        AttemptRequest booking = fixture.nonIdempotentCall("k1");
        fixture.send(booking).reply();
        WagtailcartException rejection = fixture.send(booking).failure();
        assertThat(rejection.runState()).isEqualTo(RunState.RAN);
        assertThat(fixture.service.runs()).containsExactly("k1", 1L);
        AttemptStatus status = fixture.query(booking);
        assertThat(status.state()).isEqualTo(AttemptStatus.State.DONE);
        assertThat(new String(status.response().body(), UTF_8)).contains("\"key\":\"k1\"");
    }

    /** Guards against a second run, and against a false NOT_RUN, when the outcome of a call is lost (R5, R6). */
    @ParameterizedTest
    @EnumSource(
            value = FaultKind.class,
            names = {"RESET_BEFORE", "RESET_AFTER", "TRUNCATE", "CRASH", "SILENT"})
    void lostOutcomeIsUnknownAndNeverRepeated(FaultKind kind) throws Exception {
        fixture.service.fault(Fault.once(kind));
        AttemptRequest booking = fixture.request("k2", 2_000, fixture.epoch(), "s", "/book", "wheel", 500);
        assertThat(fixture.send(booking).failure().runState()).isEqualTo(RunState.MAY_HAVE_RUN);
        assertThat(fixture.query(booking).state()).isEqualTo(AttemptStatus.State.UNKNOWN);
        assertThat(fixture.send(booking).failure().runState()).isEqualTo(RunState.MAY_HAVE_RUN);
        assertThat(fixture.service.runs().getOrDefault("k2", 0L)).isAtMost(1);
    }

    /** Guards against a retry by the HTTP client itself after a 503 response with "Retry-After: 0" (R6). */
    @Test
    void retryAfterZeroDoesNotRepeatRequest() throws Exception {
        fixture.service.fault(Fault.once(FaultKind.RETRY_AT_ONCE));
        AttemptRequest booking = fixture.nonIdempotentCall("k3");
        AttemptRequest withoutBody = new AttemptRequest(
                "k3",
                booking.attemptNumber(),
                booking.epoch(),
                "s",
                booking.revision(),
                20_000,
                booking.priority(),
                "DELETE",
                "/book",
                booking.headers(),
                new byte[0]);
        RecordingExchange exchange = fixture.send(withoutBody);
        exchange.reply();
        assertThat(exchange.started().status()).isEqualTo(503);
        assertThat(exchange.started().headers())
                .containsAtLeast("Retry-After", "0")
                .inOrder();
        assertThat(fixture.service.runs()).containsExactly("k3", 1L);
    }

    /** Guards against MAY_HAVE_RUN when a refused connection proves that the request did not run. */
    @Test
    void refusedConnectionIsNotRun() throws Exception {
        fixture.service.close();
        AttemptRequest booking = fixture.nonIdempotentCall("k4");
        WagtailcartException failure = fixture.send(booking).failure();
        assertThat(failure.code()).isEqualTo(ResultCode.UPSTREAM_REFUSED);
        assertThat(failure.runState()).isEqualTo(RunState.NOT_RUN);
        fixture.service.start();
        assertThat(fixture.query(booking).state()).isEqualTo(AttemptStatus.State.NOT_SENT);
        assertThat(fixture.send(booking).failure().runState()).isEqualTo(RunState.NOT_RUN);
        assertThat(fixture.service.runs()).isEmpty();
    }

    /** Guards against a late request that runs after its attempt was reported as not run. */
    @Test
    void queriedAttemptIsNotSentWhenItArrivesLate() throws Exception {
        AttemptRequest booking = fixture.nonIdempotentCall("k5");
        assertThat(fixture.query(booking).state()).isEqualTo(AttemptStatus.State.NOT_SENT);
        assertThat(fixture.send(booking).failure().runState()).isEqualTo(RunState.NOT_RUN);
        assertThat(fixture.service.runs()).isEmpty();
    }

    /** Guards against an outcome that is discarded because the response arrived after the caller's deadline. */
    @Test
    void lateResponseIsRecorded() throws Exception {
        fixture.service.fault(new Fault(FaultKind.DELAY, 1, 0, 700));
        AttemptRequest booking = fixture.request("k7", 2_000, fixture.epoch(), "s", "/book", "wheel", 200);
        fixture.send(booking).reply();
        assertThat(fixture.query(booking).state()).isEqualTo(AttemptStatus.State.DONE);
        assertThat(fixture.service.runs()).containsExactly("k7", 1L);
    }

    /** Guards against a call whose outcome is lost because its entry was killed. */
    @Test
    void outcomeIsKeptWhenTheEntryDisconnects() throws Exception {
        fixture.service.fault(new Fault(FaultKind.DELAY, 1, 0, 300));
        AttemptRequest booking = fixture.nonIdempotentCall("k6");
        fixture.send(booking).cancel();
        assertThat(fixture.query(booking).state()).isEqualTo(AttemptStatus.State.RUNNING);
        SidecarFixture.await(() -> stateOf(booking) == AttemptStatus.State.DONE);
    }

    /** Guards against an engine that continues a stream whose caller has disconnected (section 8). */
    @Test
    void cancelReachesTheEngine() throws Exception {
        RecordingExchange exchange = fixture.send(fixture.streamedCompletion("c1", 5_000));
        SidecarFixture.await(() -> exchange.events().size() > 3);
        assertThat(fixture.engine.inFlight()).isEqualTo(1);
        exchange.cancel();
        assertThat(exchange.failure().code()).isEqualTo(ResultCode.CALLER_GONE);
        SidecarFixture.await(() -> fixture.engine.inFlight() == 0);
        SidecarFixture.await(() -> fixture.engine.counters().cancelled() == 1);
    }

    /** Guards against a request that runs under different settings revisions at the entry and the sidecar (R9). */
    @ParameterizedTest
    @CsvSource({"4", "6"})
    void requestOfAnotherRevisionIsRefused(long revision) throws Exception {
        fixture.control.revision.set(revision);
        AttemptRequest booking = fixture.nonIdempotentCall("r1");
        fixture.control.revision.set(5);
        WagtailcartException failure = fixture.send(booking).failure();
        assertThat(failure.code()).isEqualTo(ResultCode.SETTINGS_REVISION_STALE);
        assertThat(fixture.query(booking).state()).isEqualTo(AttemptStatus.State.NOT_SENT);
        assertThat(fixture.control.syncs.get()).isEqualTo(revision == 6 ? 1 : 0);
    }

    /** Guards against rejecting a request whose settings revision arrives within the wait time. */
    @Test
    void requestWaitsForTheSync() throws Exception {
        fixture.control.revision.set(6);
        AttemptRequest booking = fixture.nonIdempotentCall("r2");
        fixture.control.revision.set(5);
        RecordingExchange exchange = fixture.send(booking);
        assertThat(exchange.ended()).isFalse();
        fixture.control.revision.set(6);
        fixture.control.notifyChange();
        exchange.reply();
    }

    /** Guards against new requests to a leaving upstream (R7), and against a rejection that is not recorded (R5). */
    @ParameterizedTest
    @EnumSource(
            value = Lifecycle.class,
            names = {"DRAINING", "DRAINED", "REPLACED", "WITHDRAWN"})
    void leavingUpstreamIsRefused(Lifecycle lifecycle) throws Exception {
        fixture.control.change("s", old -> FakeControl.withLifecycle(old, lifecycle));
        AttemptRequest booking = fixture.nonIdempotentCall("l1");
        WagtailcartException failure = fixture.send(booking).failure();
        assertThat(failure.code()).isEqualTo(ResultCode.UPSTREAM_LEAVING);
        assertThat(failure.runState()).isEqualTo(RunState.NOT_RUN);
        assertThat(fixture.query(booking).state()).isEqualTo(AttemptStatus.State.NOT_SENT);
    }

    /** Guards against orders that bypass the order executor, and against requests to other hosts. */
    @ParameterizedTest
    @CsvSource({
        "e, /engine/orders",
        "e, /v1/../engine/orders",
        "e, /v1/%2e%2e/engine/orders",
        "e, /standin/faults",
        "s, /a/../book",
        "s, @127.0.0.1:1/book",
        "s, book"
    })
    void pathThatIsNotOpenIsRefused(String upstream, String path) throws Exception {
        AttemptRequest request = fixture.request("o1", 3_000, fixture.epoch(), upstream, path, "{}", 20_000);
        WagtailcartException failure = fixture.send(request).failure();
        assertThat(failure.code()).isEqualTo(ResultCode.INVALID_ARGUMENT);
        assertThat(failure.runState()).isEqualTo(RunState.NOT_RUN);
        assertThat(fixture.engine.orders()).isEmpty();
        assertThat(fixture.service.runs()).isEmpty();
    }

    /** Guards against an exceeded concurrency limit of 4 and an unbounded queue; the queue limit is 2. */
    @Test
    void queueIsBounded() throws Exception {
        List<RecordingExchange> exchanges = IntStream.range(0, 7)
                .mapToObj(i -> fixture.send(fixture.streamedCompletion("q" + i, 60)))
                .toList();
        assertThat(exchanges.get(6).failure().code()).isEqualTo(ResultCode.QUEUE_FULL);
        SidecarFixture.await(() -> fixture.engine.inFlight() == 4);
        for (RecordingExchange exchange : exchanges.subList(0, 6)) {
            exchange.reply();
            assertThat(fixture.engine.inFlight()).isAtMost(4);
        }
    }

    /** Guards against a request that is sent although its deadline passed in the queue. */
    @Test
    void deadlinePassesInTheQueue() throws Exception {
        IntStream.range(0, 4).forEach(i -> fixture.send(fixture.streamedCompletion("w" + i, 200)));
        String body = "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}";
        AttemptRequest late = fixture.request("w9", 0, 0, "e", "/v1/completions", body, 200);
        WagtailcartException failure = fixture.send(late).failure();
        assertThat(failure.code()).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
        assertThat(failure.runState()).isEqualTo(RunState.NOT_RUN);
    }

    /** Guards against a concurrency limit that ignores the loss of the power grant. */
    @ParameterizedTest
    @CsvSource({"8, 2, true, 8", "8, 2, false, 2", "2, 8, false, 2"})
    void softLimitHoldsWithoutGrant(int hard, int soft, boolean granted, int expected) {
        assertThat(new ConcurrencyLimits(hard, soft, granted).effective()).isEqualTo(expected);
    }

    /** Guards against a sidecar that does not retry its registration when there is no quorum. */
    @Test
    void registrationIsRetried() {
        fixture.control.registrationsToReject.set(2);
        fixture.startRole(2);
        assertThat(fixture.role.ready()).isFalse();
        SidecarFixture.await(fixture.role::ready);
    }

    /**
     * Guards against requests run by a process with a superseded epoch, and against a false NOT_RUN by its successor.
     */
    @Test
    void supersededEpochStopsWork() throws Exception {
        AttemptRequest earlierCall = fixture.nonIdempotentCall("s1");
        fixture.control.supersede();
        SidecarFixture.await(() -> !fixture.role.ready());
        assertThat(fixture.send(fixture.streamedCompletion("s2", 1)).failure().code())
                .isEqualTo(ResultCode.EPOCH_SUPERSEDED);
        assertThat(fixture.send(earlierCall).failure().code()).isEqualTo(ResultCode.EPOCH_SUPERSEDED);
        fixture.startRole(2);
        SidecarFixture.await(fixture.role::ready);
        assertThat(fixture.query(earlierCall).state()).isEqualTo(AttemptStatus.State.UNKNOWN);
        assertThat(fixture.send(earlierCall).failure().runState()).isEqualTo(RunState.MAY_HAVE_RUN);
        assertThat(fixture.service.runs()).isEmpty();
    }

    /** Guards against a shutdown that aborts a running stream (R8) or accepts new requests. */
    @Test
    void drainWaitsForRunningAndRefusesNew() throws Exception {
        RecordingExchange stream = fixture.send(fixture.streamedCompletion("n1", 100));
        SidecarFixture.await(() -> stream.events().size() > 3);
        CompletableFuture<Void> drained = fixture.role.drain();
        WagtailcartException rejection =
                fixture.send(fixture.streamedCompletion("n2", 1)).failure();
        assertThat(rejection.code()).isEqualTo(ResultCode.SHUTTING_DOWN);
        assertThat(rejection.runState()).isEqualTo(RunState.NOT_RUN);
        // 20 more events take 400 ms, in which the sidecar checks several times whether its drain is complete.
        int received = stream.events().size();
        SidecarFixture.await(() -> stream.events().size() > received + 20);
        assertThat(drained.isDone()).isFalse();
        stream.reply();
        drained.get(60, TimeUnit.SECONDS);
    }

    /** Guards against load reports that omit running requests or report a dead upstream as reachable. */
    @Test
    void reportsContainLoadAndReachability() throws Exception {
        RecordingExchange stream = fixture.send(fixture.streamedCompletion("p1", 100));
        SidecarFixture.await(() -> stream.events().size() > 3);
        assertThat(fixture.role.collectLoadReports().stream()
                        .filter(report -> report.upstreamId().equals("e"))
                        .findFirst()
                        .orElseThrow()
                        .running())
                .isEqualTo(1);
        stream.reply();
        fixture.engine.close();
        SidecarFixture.await(() -> fixture.role.collectLoadReports().stream()
                .anyMatch(report -> report.upstreamId().equals("e") && !report.reachable()));
    }

    private AttemptStatus.State stateOf(AttemptRequest request) {
        try {
            return fixture.query(request).state();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }
}
