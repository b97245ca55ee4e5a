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

class SidecarRoleTest {
    /** A step takes 20 ms, so that a long stream still runs while the test acts on it. */
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

    /** Guards against a stream that is passed on with parts missing or with wrong counts. */
    @Test
    void forwardsStreamWithCounts() throws Exception {
        RecordingExchange exchange = fixture.send(fixture.streamedCompletion("a1", 50));
        AttemptEnd end = (AttemptEnd) exchange.answer();
        assertThat(exchange.body()).contains(Tokens.token("p", 49));
        assertThat(exchange.body()).endsWith("data: [DONE]\n\n");
        assertThat(end.sizeBytes()).isEqualTo(exchange.body().length());
        assertThat(end.chunks()).isEqualTo(exchange.events().size() - 1);
    }

    /** Guards against a whole answer that is changed on its way. */
    @Test
    void forwardsCompleteResponse() throws Exception {
        RecordingExchange exchange = fixture.send(fixture.unstreamedCompletion("a2", 5));
        exchange.answer();
        assertThat(exchange.started().status()).isEqualTo(200);
        assertThat(exchange.body()).contains(Tokens.text("p", 0, 5));
    }

    /** Guards against a faulty answer of an engine that is passed on as complete, and against a wait without end (R4). */
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
    void faultyEngineAnswerFails(boolean streamed, FaultKind kind, ResultCode expected) throws Exception {
        fixture.engine.fault(Fault.once(kind));
        AttemptRequest request =
                streamed ? fixture.streamedCompletion("f1", 20) : fixture.unstreamedCompletion("f1", 20);
        WagtailcartException failure = fixture.send(request).failure();
        assertThat(failure.code()).isEqualTo(expected);
        assertThat(failure.runState()).isEqualTo(RunState.MAY_HAVE_RUN);
    }

    /** Guards against a body that goes silent and is noticed only after the time that a batch may wait for its start. */
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

    /** Guards against the answers of two requests that are delivered to the wrong callers (R4). */
    @Test
    void swappedResponsesOfTwoRequestsBothFail() throws Exception {
        fixture.engine.fault(new Fault(FaultKind.CROSS, 2, 0, 900));
        RecordingExchange one = fixture.send(fixture.streamedCompletion("x1", 5));
        RecordingExchange other = fixture.send(fixture.streamedCompletion("x2", 5));
        assertThat(one.failure().code()).isEqualTo(ResultCode.ANSWER_MISMATCH);
        assertThat(other.failure().code()).isEqualTo(ResultCode.ANSWER_MISMATCH);
        assertThat(one.events()).isEmpty();
    }

    /** Guards against a repeated event that reaches the caller twice. */
    @Test
    void repeatedEventIsDropped() throws Exception {
        fixture.engine.fault(Fault.once(FaultKind.DUPLICATE));
        RecordingExchange exchange = fixture.send(fixture.streamedCompletion("d1", 10));
        exchange.answer();
        assertThat(exchange.body().split("id: ", -1)).hasLength(11);
    }

    /** Guards against a non-idempotent call that runs again when its frame is repeated (R6). */
    @Test
    void repeatedFrameRunsOnce() throws Exception {
        AttemptRequest booking = fixture.nonIdempotentCall("k1");
        fixture.send(booking).answer();
        WagtailcartException refusal = fixture.send(booking).failure();
        assertThat(refusal.runState()).isEqualTo(RunState.RAN);
        assertThat(fixture.service.runs()).containsExactly("k1", 1L);
        AttemptStatus status = fixture.query(booking);
        assertThat(status.state()).isEqualTo(AttemptStatus.State.DONE);
        assertThat(new String(status.response().body(), UTF_8)).contains("\"key\":\"k1\"");
    }

    /** Guards against a second run, and against a claim of "not run", when the outcome of a call is lost (R5, R6). */
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

    /** Guards against the HTTP client's own repeat of a request that was answered 503 with "Retry-After: 0" (R6). */
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
        exchange.answer();
        assertThat(exchange.started().status()).isEqualTo(503);
        assertThat(exchange.started().headers())
                .containsAtLeast("Retry-After", "0")
                .inOrder();
        assertThat(fixture.service.runs()).containsExactly("k3", 1L);
    }

    /** Guards against "may have run" where a refused connect proves the opposite. */
    @Test
    void refusedConnectIsNotRun() throws Exception {
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

    /** Guards against a late frame that runs after its attempt was stated as not run. */
    @Test
    void queriedAttemptIsNotSentWhenItArrivesLate() throws Exception {
        AttemptRequest booking = fixture.nonIdempotentCall("k5");
        assertThat(fixture.query(booking).state()).isEqualTo(AttemptStatus.State.NOT_SENT);
        assertThat(fixture.send(booking).failure().runState()).isEqualTo(RunState.NOT_RUN);
        assertThat(fixture.service.runs()).isEmpty();
    }

    /** Guards against an outcome that is given up because the answer came after the caller's deadline. */
    @Test
    void lateAnswerIsRecorded() throws Exception {
        fixture.service.fault(new Fault(FaultKind.DELAY, 1, 0, 700));
        AttemptRequest booking = fixture.request("k7", 2_000, fixture.epoch(), "s", "/book", "wheel", 200);
        fixture.send(booking).answer();
        assertThat(fixture.query(booking).state()).isEqualTo(AttemptStatus.State.DONE);
        assertThat(fixture.service.runs()).containsExactly("k7", 1L);
    }

    /** Guards against a call whose outcome is lost because the entry that asked for it was killed. */
    @Test
    void outcomeIsKeptWhenTheEntryIsGone() throws Exception {
        fixture.service.fault(new Fault(FaultKind.DELAY, 1, 0, 300));
        AttemptRequest booking = fixture.nonIdempotentCall("k6");
        fixture.send(booking).cancel();
        assertThat(fixture.query(booking).state()).isEqualTo(AttemptStatus.State.RUNNING);
        SidecarFixture.await(() -> stateOf(booking) == AttemptStatus.State.DONE);
    }

    /** Guards against an engine that goes on with a stream whose caller is gone (section 8). */
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

    /** Guards against work under settings that the entry or the sidecar does not have (R9). */
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

    /** Guards against a refusal where the missing settings arrive a moment later. */
    @Test
    void requestWaitsForTheSync() throws Exception {
        fixture.control.revision.set(6);
        AttemptRequest booking = fixture.nonIdempotentCall("r2");
        fixture.control.revision.set(5);
        RecordingExchange exchange = fixture.send(booking);
        assertThat(exchange.ended()).isFalse();
        fixture.control.revision.set(6);
        fixture.control.notifyChange();
        exchange.answer();
    }

    /** Guards against new work for a leaving upstream (R7), and against a refusal that is not recorded (R5). */
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

    /** Guards against orders that get around the order executor, and against requests to other hosts. */
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

    /** Guards against a limit that is exceeded and a queue without end: the limit is 4 and the queue holds 2. */
    @Test
    void queueIsBounded() throws Exception {
        List<RecordingExchange> exchanges = IntStream.range(0, 7)
                .mapToObj(i -> fixture.send(fixture.streamedCompletion("q" + i, 60)))
                .toList();
        assertThat(exchanges.get(6).failure().code()).isEqualTo(ResultCode.QUEUE_FULL);
        SidecarFixture.await(() -> fixture.engine.inFlight() == 4);
        for (RecordingExchange exchange : exchanges.subList(0, 6)) {
            exchange.answer();
            assertThat(fixture.engine.inFlight()).isAtMost(4);
        }
    }

    /** Guards against a request that is sent after its deadline has passed in the queue. */
    @Test
    void deadlinePassesInTheQueue() throws Exception {
        IntStream.range(0, 4).forEach(i -> fixture.send(fixture.streamedCompletion("w" + i, 200)));
        String body = "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}";
        AttemptRequest late = fixture.request("w9", 0, 0, "e", "/v1/completions", body, 200);
        WagtailcartException failure = fixture.send(late).failure();
        assertThat(failure.code()).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
        assertThat(failure.runState()).isEqualTo(RunState.NOT_RUN);
    }

    /** Guards against a limit that ignores a lost power grant. */
    @ParameterizedTest
    @CsvSource({"8, 2, true, 8", "8, 2, false, 2", "2, 8, false, 2"})
    void softLimitHoldsWithoutGrant(int hard, int soft, boolean granted, int expected) {
        assertThat(new ConcurrencyLimits(hard, soft, granted).effective()).isEqualTo(expected);
    }

    /** Guards against a sidecar that gives up when no quorum answers its registration. */
    @Test
    void registrationIsRetried() {
        fixture.control.refusedRegistrations.set(2);
        fixture.startRole(2);
        assertThat(fixture.role.ready()).isFalse();
        SidecarFixture.await(fixture.role::ready);
    }

    /** Guards against work by a process whose epoch was superseded, and against a false "not run" by its successor. */
    @Test
    void supersededEpochStopsWork() throws Exception {
        AttemptRequest ofFirst = fixture.nonIdempotentCall("s1");
        fixture.control.supersede();
        SidecarFixture.await(() -> !fixture.role.ready());
        assertThat(fixture.send(fixture.streamedCompletion("s2", 1)).failure().code())
                .isEqualTo(ResultCode.EPOCH_SUPERSEDED);
        assertThat(fixture.send(ofFirst).failure().code()).isEqualTo(ResultCode.EPOCH_SUPERSEDED);
        fixture.startRole(2);
        SidecarFixture.await(fixture.role::ready);
        assertThat(fixture.query(ofFirst).state()).isEqualTo(AttemptStatus.State.UNKNOWN);
        assertThat(fixture.send(ofFirst).failure().runState()).isEqualTo(RunState.MAY_HAVE_RUN);
        assertThat(fixture.service.runs()).isEmpty();
    }

    /** Guards against a shutdown that cuts a running stream (R8) or takes new work. */
    @Test
    void drainWaitsForRunningAndRefusesNew() throws Exception {
        RecordingExchange running = fixture.send(fixture.streamedCompletion("n1", 100));
        SidecarFixture.await(() -> running.events().size() > 3);
        CompletableFuture<Void> drained = fixture.role.drain();
        WagtailcartException refusal =
                fixture.send(fixture.streamedCompletion("n2", 1)).failure();
        assertThat(refusal.code()).isEqualTo(ResultCode.SHUTTING_DOWN);
        assertThat(refusal.runState()).isEqualTo(RunState.NOT_RUN);
        // 20 more events take 400 ms, in which the sidecar looks several times whether it is done.
        int received = running.events().size();
        SidecarFixture.await(() -> running.events().size() > received + 20);
        assertThat(drained.isDone()).isFalse();
        running.answer();
        drained.get(60, TimeUnit.SECONDS);
    }

    /** Guards against load reports that miss running requests or name a dead upstream as reachable. */
    @Test
    void reportsContainLoadAndReachability() throws Exception {
        RecordingExchange running = fixture.send(fixture.streamedCompletion("p1", 100));
        SidecarFixture.await(() -> running.events().size() > 3);
        assertThat(fixture.role.collectLoadReports().stream()
                        .filter(report -> report.upstreamId().equals("e"))
                        .findFirst()
                        .orElseThrow()
                        .running())
                .isEqualTo(1);
        running.answer();
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
