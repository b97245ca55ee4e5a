package org.wagtailcart.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.once.KeyId;
import org.wagtailcart.once.KeyResult;
import org.wagtailcart.once.KeyState;
import org.wagtailcart.once.ReserveKey;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.message.AttemptStatus;
import org.wagtailcart.testing.PipelinedCaller;
import org.wagtailcart.wire.Exchange;

/**
 * Tests of an entry with its HTTP listener against fake sidecars: at-most-once calls, admission, queues, deadlines and
 * shutdown. Guards against work that runs twice and against errors with a wrong run state.
 */
class EntryCallsTest {
    private static final String BOOK = "/services/parts/book?x=1";

    private final FakeControl control = new FakeControl();
    private final FakeSidecar first = new FakeSidecar();
    private final FakeSidecar second = new FakeSidecar();
    private EntryFixture fixture;

    @BeforeEach
    void start() {
        control.set("/upstreams/p1", "non-idempotent", "POST /book");
        control.addEngine("e1", first.address, EngineRole.MIXED, 1);
        control.addService("p1", first.address, 1);
        fixture = new EntryFixture(control, ControlLossPolicy.REFUSE);
    }

    @AfterEach
    void stop() {
        fixture.close();
        first.close();
        second.close();
    }

    private HttpResponse<String> book(EntryFixture fixture, String key, String body, String... deadline) {
        String[] headers = deadline.length == 0
                ? new String[] {"Idempotency-Key", key}
                : new String[] {"Idempotency-Key", key, "Wagtailcart-Deadline-Millis", deadline[0]};
        return fixture.post(BOOK, body, headers).join();
    }

    private static void assertError(HttpResponse<String> response, ResultCode code, String runState) {
        assertThat(response.body()).contains("{\"error\":{\"code\":" + code.number() + ",");
        assertThat(response.headers().firstValue("Wagtailcart-Result-Code")).hasValue(String.valueOf(code.number()));
        assertThat(response.headers().firstValue("Wagtailcart-Run-State")).hasValue(runState);
        assertThat(response.body()).contains("\"run_state\":\"" + runState + "\"");
        assertThat(response.statusCode()).isEqualTo(code.httpStatus());
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(end);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    /**
     * Guards against a spelling of a path that bypasses the list of at-most-once calls, so that the call would be
     * retried.
     */
    @ParameterizedTest
    @ValueSource(strings = {"/book", "/bo%6Fk/1", "//book", "/x/../book", "/%2e/book"})
    void everySpellingOfAListedPathNeedsAKey(String path) {
        assertError(
                fixture.post("/services/parts" + path, "wheel").join(), ResultCode.IDEMPOTENCY_KEY_MISSING, "not-run");
    }

    /** Guards against a second run of a repeated request, and against a response that differs from the recorded one. */
    @Test
    void repeatedKeyReturnsRecordedResponseThroughAnyEntry() {
        HttpResponse<String> ran = book(fixture, "k", "wheel");
        assertThat(ran.statusCode()).isEqualTo(201);
        assertThat(ran.headers().firstValue("Wagtailcart-Replayed")).isEmpty();
        try (EntryFixture other = new EntryFixture(control, ControlLossPolicy.REFUSE)) {
            HttpResponse<String> again = book(other, "k", "wheel");
            assertThat(again.body()).isEqualTo(ran.body());
            assertThat(again.statusCode()).isEqualTo(201);
            assertThat(again.headers().firstValue("X-Kept")).hasValue("yes");
            assertThat(again.headers().firstValue("Wagtailcart-Replayed")).hasValue("true");
        }
        assertError(book(fixture, "k", "another wheel"), ResultCode.IDEMPOTENCY_KEY_REUSED, "not-run");
        assertThat(first.received).hasSize(1);
        assertThat(first.received.peek().path()).isEqualTo("/book?x=1");
    }

    /** Guards against two runs when the same request arrives at two entries at once. */
    @Test
    void duplicatesThroughTwoEntriesRunOnce() {
        try (EntryFixture other = new EntryFixture(control, ControlLossPolicy.REFUSE)) {
            List<CompletableFuture<HttpResponse<String>>> responses = IntStream.range(0, 8)
                    .mapToObj(i -> (i % 2 == 0 ? fixture : other).post(BOOK, "wheel", "Idempotency-Key", "k"))
                    .toList();
            assertThat(responses.stream()
                            .map(response -> response.join().body())
                            .distinct()
                            .toList())
                    .containsExactly("booked 1");
            assertThat(first.runs.get()).isEqualTo(1);
        }
    }

    /**
     * Guards against a second run of a request whose response was lost, and against a caller that does not receive it.
     */
    @Test
    void lostResponseIsReadFromLedger() {
        first.scripts.add((request, exchange) -> {
            first.respond(request, new DiscardingExchange(exchange));
            exchange.fail(new WagtailcartException(ResultCode.CONNECTION_LOST, "connection broke"));
        });
        assertThat(book(fixture, "k", "wheel").body()).isEqualTo("booked 1");
        assertThat(first.received).hasSize(1);
    }

    /** Guards against a key that stays reserved after its entry crashed between the reservation and the attempt. */
    @Test
    void keyOfCrashedEntryIsReleasedOnceAttemptIsNotSent() {
        ReserveKey reserve = new ReserveKey(new KeyId("default", "k"), fingerprintOf("k2"), "ghost", "p1", 1);
        assertThat(control.submit(reserve, KeyResult.class, 1_000).join().state())
                .isEqualTo(KeyState.RESERVED);
        assertThat(book(fixture, "k", "k2").body()).isEqualTo("booked 2");
        assertThat(first.ledger.get("ghost").state()).isEqualTo(AttemptStatus.State.NOT_SENT);
    }

    /** Returns the fingerprint that the entry reserves for a call with the given body. */
    private String fingerprintOf(String body) {
        book(fixture, "probe", body);
        return control.fingerprints.get(new KeyId("default", "probe"));
    }

    /** Guards against a definite run state for an unknown outcome, and against a later run under the same key. */
    @Test
    void anUnknownOutcomeIsReportedAndNeverRunAgain() {
        first.scripts.add((request, exchange) -> {
            first.ledger.put(request.attemptId(), new AttemptStatus(AttemptStatus.State.UNKNOWN, null));
            exchange.fail(new WagtailcartException(ResultCode.UPSTREAM_FAILED, "service died"));
        });
        assertError(book(fixture, "k", "wheel"), ResultCode.OUTCOME_UNKNOWN, "may-have-run");
        assertError(book(fixture, "k", "wheel"), ResultCode.OUTCOME_UNKNOWN, "may-have-run");
        assertThat(first.received).hasSize(1);
    }

    /** Guards against a retry under the same attempt id after a sidecar reported that the request did not run. */
    @Test
    void aRefusedAttemptIsRetriedElsewhereUnderAFreshReservation() {
        control.addService("p2", second.address, 2);
        fixture.awaitInstalled();
        first.scripts.add((request, exchange) ->
                exchange.fail(new WagtailcartException(ResultCode.UPSTREAM_REFUSED, "connect refused")));
        assertThat(book(fixture, "k", "wheel").statusCode()).isEqualTo(201);
        AttemptRequest rejected = first.received.peek();
        AttemptRequest sent = second.received.peek();
        assertThat(sent.attemptId()).isNotEqualTo(rejected.attemptId());
        assertThat(sent.attemptNumber()).isGreaterThan(rejected.attemptNumber());
        assertThat(sent.epoch()).isEqualTo(2);
    }

    /** Guards against an at-most-once call that fails, or runs twice, when a sidecar has newer settings. */
    @Test
    void atMostOnceCallWaitsForNewerSettings() {
        control.onSync = () -> control.set("/", "priority", "batch");
        IntStream.range(0, 2)
                .forEach(i -> first.scripts.add((request, exchange) ->
                        exchange.fail(new WagtailcartException(ResultCode.SETTINGS_REVISION_STALE, "newer revision"))));
        assertThat(book(fixture, "k", "wheel").statusCode()).isEqualTo(201);
        assertThat(first.received.stream()
                        .map(AttemptRequest::revision)
                        .distinct()
                        .count())
                .isEqualTo(3);
        assertThat(first.runs.get()).isEqualTo(1);
    }

    /**
     * Guards against a call that runs without a reservation, and against "not run" for a key that cannot be looked up.
     */
    @Test
    void atMostOnceCallsNeedTheControlGroup() {
        assertError(fixture.post(BOOK, "wheel").join(), ResultCode.IDEMPOTENCY_KEY_MISSING, "not-run");
        control.reachable = false;
        assertError(book(fixture, "k", "wheel"), ResultCode.KEY_RESERVATION_FAILED, "may-have-run");
        control.leaseDeadlineMillis = 0;
        assertError(book(fixture, "k", "wheel"), ResultCode.SETTINGS_LEASE_EXPIRED, "may-have-run");
        assertThat(first.received).isEmpty();
    }

    /**
     * Guards against "not run" for a key that ran when no upstream is available, and against the loss of its response.
     */
    @Test
    void aKeyThatRanIsReplayedEvenWithoutAnUpstream() {
        book(fixture, "k", "wheel");
        control.remove("p1");
        control.put(withoutEpoch());
        fixture.awaitInstalled();
        assertThat(book(fixture, "k", "wheel").headers().firstValue("Wagtailcart-Replayed"))
                .hasValue("true");
        assertError(book(fixture, "new", "wheel"), ResultCode.NO_UPSTREAM, "not-run");
    }

    private UpstreamView withoutEpoch() {
        FakeControl other = new FakeControl();
        other.addService("p1", first.address, 0);
        return other.upstream("p1").orElseThrow();
    }

    /** Guards against new work under outdated settings after the lease expires, contrary to the configured policy. */
    @ParameterizedTest
    @CsvSource({"REFUSE, 503, 503", "SERVE_IDEMPOTENT, 200, 200"})
    void anExpiredLeaseStopsNewWorkAsConfigured(ControlLossPolicy policy, int ready, int completion) {
        try (EntryFixture other = new EntryFixture(control, policy)) {
            assertThat(other.get("/readyz").statusCode()).isEqualTo(200);
            control.leaseDeadlineMillis = 0;
            assertThat(other.get("/readyz").statusCode()).isEqualTo(ready);
            assertThat(other.get("/livez").statusCode()).isEqualTo(200);
            assertThat(other.complete(false).statusCode()).isEqualTo(completion);
            assertError(book(other, "k", "wheel"), ResultCode.SETTINGS_LEASE_EXPIRED, "may-have-run");
        }
    }

    /** Guards against invalid input that is accepted or that stops the entry. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/v1/chat/completions | {} | Wagtailcart-Priority | normal | 1001",
                "/v1/chat/completions | nonsense | Wagtailcart-Priority | normal | 1001",
                "/v1/chat/completions | {\"model\":\"m\",\"stream\":3} | Wagtailcart-Priority | normal | 1001",
                "/v1/chat/completions | {\"model\":\"m\",\"max_tokens\":-1} | Wagtailcart-Priority | normal | 1001",
                "/v1/chat/completions | {\"model\":\"no\"} | Wagtailcart-Priority | normal | 7006",
                "/v1/chat/completions | {\"model\":\"m\"} | Wagtailcart-Priority | urgent | 1001",
                "/v1/chat/completions | {\"model\":\"m\"} | Wagtailcart-Deadline-Millis | 0 | 1001",
                "/v1/chat/completions | {\"model\":\"m\"} | Wagtailcart-Workspace | a/b | 1001",
                "/services/none/x | x | Wagtailcart-Priority | normal | 1004",
                "/elsewhere | x | Wagtailcart-Priority | normal | 1004"
            })
    void invalidInputIsRefusedWithItsCode(String path, String body, String header, String value, int code) {
        ResultCode expected = ResultCode.ofNumber(code).orElseThrow();
        assertError(fixture.post(path, body, header, value).join(), expected, "not-run");
        assertThat(fixture.complete(true).statusCode()).isEqualTo(200);
    }

    /** Guards against a workspace that exceeds its request rate, and against limiting other workspaces with it. */
    @Test
    void workspaceRateLimitIsEnforced() {
        control.set("/workspaces/w", "requests-per-second", "2");
        fixture.awaitInstalled();
        List<HttpResponse<String>> responses = IntStream.range(0, 12)
                .mapToObj(i -> fixture.completeAsync(false, "Wagtailcart-Workspace", "w"))
                .toList()
                .stream()
                .map(CompletableFuture::join)
                .toList();
        List<Integer> statuses =
                responses.stream().map(HttpResponse::statusCode).toList();
        assertThat(statuses).contains(200);
        assertThat(statuses).contains(429);
        responses.stream().filter(response -> response.statusCode() == 429).forEach(response -> assertThat(
                        Double.parseDouble(
                                response.headers().firstValue("Retry-After").orElse("0")))
                .isGreaterThan(0.0));
        assertThat(fixture.complete(false).statusCode()).isEqualTo(200);
    }

    /**
     * Guards against unbounded queues, batch work ahead of interactive work, and rejections only after the deadline.
     */
    @Test
    void theQueueIsBoundedAndInteractiveWorkGoesFirst() throws Exception {
        control.set("/upstreams/e1", "queue-limit", "1");
        fixture.awaitInstalled();
        CountDownLatch release = new CountDownLatch(1);
        first.scripts.add((request, exchange) -> {
            awaitUninterrupted(release);
            first.respond(request, exchange);
        });
        CompletableFuture<HttpResponse<String>> running = fixture.completeAsync(false);
        await(() -> first.received.size() == 1);
        CompletableFuture<HttpResponse<String>> batch = fixture.completeAsync(false, "Wagtailcart-Priority", "batch");
        await(() -> fixture.entry.dump().waitingRequests() == 1);
        assertError(fixture.complete(false, "Wagtailcart-Priority", "batch"), ResultCode.QUEUE_FULL, "not-run");
        CompletableFuture<HttpResponse<String>> urgent =
                fixture.completeAsync(false, "Wagtailcart-Priority", "interactive");
        await(() -> fixture.entry.dump().waitingRequests() == 2);
        assertError(
                fixture.complete(false, "Wagtailcart-Deadline-Millis", "50"),
                ResultCode.DEADLINE_UNREACHABLE,
                "not-run");
        release.countDown();
        CompletableFuture.allOf(running, batch, urgent).get(30, TimeUnit.SECONDS);
        assertThat(first.received.stream()
                        .map(request -> request.priority().rank())
                        .toList())
                .containsExactly(1, 2, 0)
                .inOrder();
    }

    /**
     * Guards against a queued request that is never routed when capacity returns without any event at the dispatcher.
     */
    @Test
    void queuedRequestIsRoutedWhenBreakerCloses() {
        fixture.router.breakerOpen = true;
        CompletableFuture<HttpResponse<String>> queued = fixture.completeAsync(false);
        await(() -> fixture.entry.dump().waitingRequests() == 1);
        fixture.router.breakerOpen = false;
        assertThat(queued.join().statusCode()).isEqualTo(200);
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await(30, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against an attempt that continues after its caller disconnected, streamed or not. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void aCallerThatDisconnectsCancelsTheAttempt(boolean streamed) throws Exception {
        CountDownLatch attemptStarted = new CountDownLatch(1);
        first.scripts.add((request, exchange) -> {
            if (streamed) {
                FakeSidecar.sendTokens(request, exchange, 2);
            }
            attemptStarted.countDown();
        });
        String body = "{\"model\":\"m\",\"stream\":" + streamed + "}";
        try (Socket socket = new Socket("127.0.0.1", fixture.address.port())) {
            String head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            assertThat(attemptStarted.await(30, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(first.cancelled.await(30, TimeUnit.SECONDS)).isTrue();
        await(() -> fixture.entry.dump().routedAttempts() == 0);
        await(() -> fixture.entry.dump().openRequests() == 0);
    }

    /**
     * Guards against a request that stays open, and delays a shutdown, after its caller disconnected during the body.
     */
    @Test
    void requestIsClosedWhenCallerDisconnectsDuringBody() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", fixture.address.port())) {
            String head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            await(() -> fixture.entry.dump().openRequests() == 1);
        }
        await(() -> fixture.entry.dump().openRequests() == 0);
    }

    /** Guards against a deadline that is not enforced, and against "not run" for an attempt that was sent. */
    @Test
    void aPassedDeadlineIsReportedAndCancelsTheAttempt() throws Exception {
        // The first request opens the connection to the sidecar, so that the attempt is sent before its deadline.
        assertThat(fixture.complete(false).statusCode()).isEqualTo(200);
        first.scripts.add((request, exchange) -> {});
        assertError(
                fixture.complete(false, "Wagtailcart-Deadline-Millis", "2000"),
                ResultCode.UPSTREAM_TIMEOUT,
                "may-have-run");
        assertThat(first.cancelled.await(30, TimeUnit.SECONDS)).isTrue();
    }

    /**
     * Guards against a prompt that is processed twice because the decode engine is not given the KV cache to import.
     */
    @Test
    void aPromptIsProcessedByThePrefillEngineFirst() {
        control.remove("e1");
        control.addEngine("e3", second.address, EngineRole.PREFILL, 4);
        control.addEngine("e4", first.address, EngineRole.DECODE, 4);
        fixture.awaitInstalled();
        assertThat(fixture.complete(true).body()).endsWith("data: [DONE]\n\n");
        String prefill = new String(second.received.peek().body(), StandardCharsets.UTF_8);
        String decode = new String(first.received.peek().body(), StandardCharsets.UTF_8);
        assertThat(prefill).contains("\"hold_kv\":true,\"max_tokens\":0");
        assertThat(decode)
                .contains("\"kv_source\":{\"address\":\"127.0.0.1:9\",\"request_id\":\""
                        + second.received.peek().attemptId() + "\"}");
    }

    /** Guards against a request that reaches a decode engine which began to drain during the prefill. */
    @Test
    void aDecodeEngineThatDrainsDuringThePrefillReceivesNothing() {
        control.remove("e1");
        control.addEngine("e3", second.address, EngineRole.PREFILL, 4);
        control.addEngine("e4", first.address, EngineRole.DECODE, 4);
        fixture.awaitInstalled();
        second.scripts.add((request, exchange) -> {
            control.drainEngine("e4", first.address, EngineRole.DECODE);
            control.addEngine("e5", second.address, EngineRole.DECODE, 4);
            second.respond(request, exchange);
        });
        assertThat(fixture.complete(true).body()).endsWith("data: [DONE]\n\n");
        assertThat(first.received).isEmpty();
        assertThat(second.received.stream().map(AttemptRequest::upstreamId)).contains("e5");
    }

    /** Guards against request smuggling: the body of a pipelined request that is run as a request. */
    @Test
    void aPipelinedBodyIsNoRequestForAnySplit() throws Exception {
        String smuggled = "GET /services/parts/never-sent HTTP/1.1\r\nHost: a\r\n\r\n";
        String start = "GET /services/parts/list/1 HTTP/1.1\r\nHost: a\r\n\r\n";
        String text = start + "POST /services/parts/list/2 HTTP/1.1\r\nHost: a\r\nContent-Length: " + smuggled.length()
                + "\r\n\r\n" + smuggled;
        for (int split = start.length(); split <= text.length(); split++) {
            CountDownLatch received = new CountDownLatch(1);
            CountDownLatch release = new CountDownLatch(1);
            first.received.clear();
            first.scripts.add((request, exchange) -> {
                received.countDown();
                awaitUninterrupted(release);
                first.respond(request, exchange);
            });
            try (PipelinedCaller caller = new PipelinedCaller(fixture.address)) {
                caller.send(text.substring(0, split), List.of());
                assertThat(received.await(30, TimeUnit.SECONDS)).isTrue();
                caller.send(text.substring(split), List.of());
                release.countDown();
                assertThat(caller.readResponse()).contains(" 200 ");
                assertThat(caller.readResponse()).contains(" 200 ");
            }
            assertWithMessage("requests that ran, split at %s", split)
                    .that(first.received.stream().map(AttemptRequest::path).toList())
                    .containsExactly("/list/1", "/list/2")
                    .inOrder();
        }
    }

    /** Guards against a shutdown that aborts an open request, or that completes before the request does. */
    @Test
    void aDrainFinishesOpenRequests() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        first.scripts.add((request, exchange) -> {
            FakeSidecar.sendTokens(request, exchange, 3);
            awaitUninterrupted(release);
            IntStream.range(3, FakeSidecar.TOKENS).forEach(i -> exchange.send(FakeSidecar.token(request, i, i)));
            FakeSidecar.sendEnd(request, exchange);
        });
        CompletableFuture<HttpResponse<String>> open = fixture.completeAsync(true);
        await(() -> first.received.size() == 1);
        CompletableFuture<Void> drained = fixture.entry.drain();
        assertThat(fixture.get("/readyz").statusCode()).isEqualTo(503);
        await(() -> fixture.post("/services/parts/list", "x").join().statusCode() == 503);
        assertThat(drained.isDone()).isFalse();
        release.countDown();
        assertThat(open.get(30, TimeUnit.SECONDS).body()).endsWith("data: [DONE]\n\n");
        drained.get(30, TimeUnit.SECONDS);
    }

    /** Guards against a plain service call whose path, status, headers or body are changed by the entry. */
    @Test
    void plainServiceCallsPassUnchanged() {
        first.scripts.add((request, exchange) -> FakeSidecar.sendResponse(request, exchange, 418, request.body()));
        HttpResponse<String> response = fixture.post("/services/parts/list/1?q=a%20b", "body", "X-Own", "1")
                .join();
        assertThat(response.statusCode()).isEqualTo(418);
        assertThat(response.body()).isEqualTo("body");
        assertThat(first.received.peek().path()).isEqualTo("/list/1?q=a%20b");
        assertThat(first.received.peek().headers()).contains("X-Own");
    }

    /** Exchange that discards the messages of a script, so that they do not reach the entry. */
    private record DiscardingExchange(Exchange inner) implements Exchange {
        @Override
        public String peer() {
            return inner.peer();
        }

        @Override
        public void send(Object event) {}

        @Override
        public void finish(Object reply) {}

        @Override
        public void fail(WagtailcartException error) {}

        @Override
        public void onCancel(Runnable action) {}

        @Override
        public boolean isCancelled() {
            return false;
        }
    }
}
