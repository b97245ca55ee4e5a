package org.wagtailcart.entry;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.sidecar.message.AttemptChunk;
import org.wagtailcart.sidecar.message.AttemptEnd;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.message.AttemptStarted;
import org.wagtailcart.testing.TestAddresses;
import org.wagtailcart.wire.Exchange;

/** Guards against streams with lost, repeated or foreign tokens when attempts fail, are retried or are resumed. */
class EntryStreamTest {
    private static final Pattern TOKEN = Pattern.compile("\"content\":\"(t[0-9]+)\"");

    private final FakeControl control = new FakeControl();
    private final FakeSidecar first = new FakeSidecar();
    private final FakeSidecar second = new FakeSidecar();
    private EntryFixture fixture;

    @BeforeEach
    void start() {
        control.addEngine("e1", first.address, EngineRole.MIXED, 4);
        control.addEngine("e2", second.address, EngineRole.MIXED, 4);
        fixture = new EntryFixture(control, ControlLossPolicy.REFUSE);
    }

    @AfterEach
    void stop() {
        fixture.close();
        first.close();
        second.close();
    }

    private static List<String> tokens(String body) {
        return TOKEN.matcher(body).results().map(result -> result.group(1)).toList();
    }

    private static void assertComplete(HttpResponse<String> response) {
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(tokens(response.body()))
                .containsExactlyElementsIn(IntStream.range(0, FakeSidecar.TOKENS)
                        .mapToObj(i -> "t" + i)
                        .toList())
                .inOrder();
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
        assertThat(Pattern.compile("\"id\":\"([^\"]+)\"")
                        .matcher(response.body())
                        .results()
                        .map((MatchResult result) -> result.group(1))
                        .distinct()
                        .count())
                .isEqualTo(1);
    }

    /** Guards against a changed or truncated response when no fault occurs. */
    @Test
    void forwardsStreamedAndCompleteResponses() {
        assertComplete(fixture.complete(true));
        HttpResponse<String> complete = fixture.complete(false);
        assertThat(complete.statusCode()).isEqualTo(200);
        assertThat(complete.body()).contains("\"priority\":1");
        assertThat(complete.headers().firstValue("X-Kept")).hasValue("yes");
        assertThat(complete.headers().firstValue("Wagtailcart-Result-Code")).hasValue("0");
        assertThat(fixture.get("/v1/models").body()).contains("\"id\":\"m\"");
        assertThat(fixture.count("entry.finish.0")).isEqualTo(2);
    }

    static Stream<Arguments> brokenAttempts() {
        return Stream.of(
                brokenAttempt("upstream fails", (request, exchange) -> {
                    FakeSidecar.sendTokens(request, exchange, 5);
                    exchange.fail(new WagtailcartException(ResultCode.UPSTREAM_FAILED, "engine died"));
                }),
                brokenAttempt("upstream reaches its drain limit", (request, exchange) -> {
                    FakeSidecar.sendTokens(request, exchange, 5);
                    exchange.fail(new WagtailcartException(ResultCode.UPSTREAM_LEAVING, "drain limit"));
                }),
                brokenAttempt(
                        "attempt rejected before the status",
                        (request, exchange) ->
                                exchange.fail(new WagtailcartException(ResultCode.UPSTREAM_REFUSED, "full"))),
                brokenAttempt("end marker without the finish event", (request, exchange) -> {
                    FakeSidecar.sendTokens(request, exchange, 5);
                    long size = IntStream.range(0, 5)
                            .mapToLong(i -> FakeSidecar.tokenBytes(request, i).length)
                            .sum();
                    exchange.finish(new AttemptEnd(request.attemptId(), 5, size, 0, 0));
                }),
                brokenAttempt("wrong byte count in the end marker", (request, exchange) -> {
                    FakeSidecar.sendTokens(request, exchange, FakeSidecar.TOKENS);
                    exchange.send(
                            new AttemptChunk(request.attemptId(), FakeSidecar.TOKENS, FakeSidecar.lastBytes(request)));
                    exchange.finish(new AttemptEnd(
                            request.attemptId(), FakeSidecar.TOKENS + 1, FakeSidecar.sizeOf(request) + 1, 0, 0));
                }),
                brokenAttempt("lost chunk", (request, exchange) -> {
                    FakeSidecar.sendTokens(request, exchange, 3);
                    exchange.send(FakeSidecar.token(request, 4, 4));
                }),
                brokenAttempt("engine skips a token", (request, exchange) -> {
                    FakeSidecar.sendTokens(request, exchange, 3);
                    exchange.send(FakeSidecar.token(request, 3, 4));
                }),
                brokenAttempt("engine repeats a token", (request, exchange) -> {
                    FakeSidecar.sendTokens(request, exchange, 3);
                    exchange.send(FakeSidecar.token(request, 3, 2));
                }),
                faultInOneChunk("engine skips a token within a chunk", request -> FakeSidecar.tokenText(request, 4)),
                faultInOneChunk("engine repeats a token within a chunk", request -> FakeSidecar.tokenText(request, 2)),
                faultInOneChunk(
                        "engine sends a token without an index within a chunk",
                        request -> FakeSidecar.tokenText(request, 3).replace("id: 3\n", "")),
                faultInOneChunk(
                        "engine reports an error within a chunk",
                        request -> "event: error\ndata: " + request.attemptId() + "\n\n"),
                wholeResponse("engine begins behind the first token", request -> FakeSidecar.tokenText(request, 2)),
                wholeResponse(
                        "engine skips tokens before its finish event",
                        request -> FakeSidecar.tokenText(request, 0) + "id: 9\n"),
                brokenAttempt("end marker of another attempt", (request, exchange) -> {
                    FakeSidecar.sendTokens(request, exchange, 3);
                    exchange.finish(new AttemptEnd("other", 3, 3, 0, 0));
                }));
    }

    private static Arguments brokenAttempt(String name, FakeSidecar.Script script) {
        return Arguments.of(name, script);
    }

    /** Returns an attempt that sends three tokens, a faulty event and one more token in one chunk. */
    private static Arguments faultInOneChunk(String name, Function<AttemptRequest, String> faulty) {
        return brokenAttempt(name, (request, exchange) -> {
            FakeSidecar.sendTokens(request, exchange, 0);
            String sound = IntStream.range(0, 3)
                    .mapToObj(i -> FakeSidecar.tokenText(request, i))
                    .collect(Collectors.joining());
            String text = sound + faulty.apply(request) + FakeSidecar.tokenText(request, 3);
            exchange.send(new AttemptChunk(request.attemptId(), 0, text.getBytes(StandardCharsets.UTF_8)));
        });
    }

    /** Returns an attempt whose response consists of the given text, the finish event and [DONE], with valid counts. */
    private static Arguments wholeResponse(String name, Function<AttemptRequest, String> events) {
        return brokenAttempt(name, (request, exchange) -> {
            FakeSidecar.sendTokens(request, exchange, 0);
            String text = events.apply(request) + new String(FakeSidecar.lastBytes(request), StandardCharsets.UTF_8);
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            exchange.send(new AttemptChunk(request.attemptId(), 0, bytes));
            exchange.finish(new AttemptEnd(request.attemptId(), 1, bytes.length, 0, 0));
        });
    }

    /**
     * Guards against a stream with repeated, missing or foreign tokens after its attempt fails in any of these ways.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenAttempts")
    void aBrokenAttemptIsContinuedElsewhere(String name, FakeSidecar.Script script) {
        first.scripts.add(script);
        assertComplete(fixture.complete(true));
        assertThat(second.received).hasSize(1);
    }

    /** Guards against repeated events and events of another attempt that reach the caller. */
    @Test
    void repeatedAndCrossedEventsAreDropped() {
        first.scripts.add((request, exchange) -> {
            FakeSidecar.sendTokens(request, exchange, 4);
            exchange.send(FakeSidecar.token(request, 3, 3));
            exchange.send(new AttemptChunk("other", 4, FakeSidecar.tokenBytes(request, 9)));
            IntStream.range(4, FakeSidecar.TOKENS).forEach(i -> exchange.send(FakeSidecar.token(request, i, i)));
            FakeSidecar.sendEnd(request, exchange);
        });
        assertComplete(fixture.complete(true));
        assertThat(second.received).isEmpty();
    }

    /** Guards against a stream that appears complete although no engine could finish it. */
    @Test
    void aStreamThatCannotBeContinuedEndsWithAnErrorEvent() {
        IntStream.range(0, 10).forEach(i -> {
            first.scripts.add(EntryStreamTest::failAfterTwoTokens);
            second.scripts.add(EntryStreamTest::failAfterTwoTokens);
        });
        HttpResponse<String> response = fixture.complete(true);
        assertThat(response.body()).contains("event: error\ndata: {\"error\":{\"code\":6002,");
        assertThat(response.body()).doesNotContain("[DONE]");
    }

    private static void failAfterTwoTokens(AttemptRequest request, Exchange exchange) {
        FakeSidecar.sendTokens(request, exchange, 2);
        exchange.fail(new WagtailcartException(ResultCode.UPSTREAM_FAILED, "engine died"));
    }

    /**
     * Guards against attempts that are repeated under outdated settings, and against retry budget spent on a settings
     * sync.
     */
    @Test
    void staleSettingsAreSyncedAndRetriedWithoutTheBudget() {
        control.onSync = () -> control.set("/", "priority", "batch");
        IntStream.range(0, 3)
                .forEach(i -> first.scripts.add((request, exchange) ->
                        exchange.fail(new WagtailcartException(ResultCode.SETTINGS_REVISION_STALE, "newer revision"))));
        assertComplete(fixture.complete(true));
        assertThat(control.syncs.get()).isEqualTo(3);
        assertThat(fixture.count("entry.retries")).isEqualTo(0);
        assertThat(first.received.stream().map(request -> request.revision()).toList())
                .containsExactly(0L, 1L, 2L, 3L)
                .inOrder();
    }

    /**
     * Guards against errors after an unreachable upstream exhausted the retry budget while other upstreams have
     * capacity.
     */
    @Test
    void refusedConnectsDoNotSpendTheRetryBudget() {
        control.addEngine("a-dead", TestAddresses.free(), EngineRole.MIXED, 4);
        fixture.awaitInstalled();
        IntStream.range(0, 30).forEach(i -> assertComplete(fixture.complete(true)));
        assertThat(fixture.count("entry.retries")).isAtLeast(20);
    }

    /** Guards against a stream that hangs when its connection stops delivering bytes without being closed. */
    @Test
    void aSilentConnectionIsReplacedAndTheStreamContinued() throws Exception {
        try (StallingProxy proxy = new StallingProxy(first.address)) {
            control.remove("e2");
            control.addEngine("e1", proxy.address, EngineRole.MIXED, 4);
            fixture.awaitInstalled();
            first.scripts.add((request, exchange) -> {
                FakeSidecar.sendTokens(request, exchange, 4);
                proxy.stall();
            });
            assertComplete(fixture.complete(true));
            assertThat(first.received).hasSize(2);
        }
    }

    /** Guards against a truncated response that appears complete, whether small enough to be buffered or larger. */
    @ParameterizedTest
    @ValueSource(ints = {100, 3 << 20})
    void responseWithWrongCountsIsNotSuccessful(int size) {
        FakeSidecar.Script truncated = (request, exchange) -> {
            exchange.send(new AttemptStarted(request.attemptId(), 200, List.of()));
            exchange.send(new AttemptChunk(request.attemptId(), 0, new byte[size / 2]));
            exchange.finish(new AttemptEnd(request.attemptId(), 2, size, 0, 0));
        };
        IntStream.range(0, 3).forEach(i -> {
            first.scripts.add(truncated);
            second.scripts.add(truncated);
        });
        Object outcome = fixture.completeAsync(false)
                .<Object>thenApply(HttpResponse::statusCode)
                .exceptionally(Throwable::getClass)
                .join();
        assertThat(outcome).isNotEqualTo(200);
    }

    /**
     * Guards against the response of another attempt that is appended to a broken error body: the caller then receives
     * one error response that appears complete, in a stream even with [DONE].
     */
    @ParameterizedTest(name = "stream {0}, {1}")
    @CsvSource({
        "true, UPSTREAM_FAILED",
        "true, UPSTREAM_LEAVING",
        "true, SETTINGS_REVISION_STALE",
        "false, UPSTREAM_FAILED",
        "false, SETTINGS_REVISION_STALE"
    })
    void aBrokenErrorBodyIsNotContinued(boolean stream, ResultCode code) {
        byte[] tooLargeToBuffer = new byte[(1 << 20) + 1];
        first.scripts.add((request, exchange) -> {
            exchange.send(new AttemptStarted(request.attemptId(), 404, List.of("Content-Type", "text/plain")));
            exchange.send(new AttemptChunk(request.attemptId(), 0, tooLargeToBuffer));
            exchange.fail(new WagtailcartException(code, "broke off"));
        });
        String outcome = fixture.completeAsync(stream)
                .thenApply(response ->
                        response.statusCode() + " with " + response.body().substring(tooLargeToBuffer.length))
                .exceptionally(error -> error.getCause() instanceof HttpTimeoutException ? "timeout" : "cut")
                .join();
        assertThat(outcome).isEqualTo("cut");
        assertThat(first.received).hasSize(1);
        assertThat(second.received).isEmpty();
    }
}
