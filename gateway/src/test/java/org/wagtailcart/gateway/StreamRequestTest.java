package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.EngineRole;

/** Guards against lost, repeated or truncated events in streams whose prefill and decode run on different engines. */
class StreamRequestTest {
    private static final int EVENTS = 12;
    private static final int RESET_AFTER_MILLIS = 100;
    /** Longer than the gap after which a stream continues at another engine. */
    private static final int LONG_PAUSE_MILLIS = 2_600;

    private static String events(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(i -> "id: " + i + "\ndata: piece " + i + "\n\n")
                .collect(Collectors.joining());
    }

    private static String head(TestUpstream.Received request) {
        return "HTTP/1.1 200 OK\r\nId: " + request.header("Id")
                + "\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /**
     * Returns a script that streams the events after the requested one, and closes the connection within the event with
     * the given id if the stream has it.
     */
    private static TestUpstream.Script streamUntil(int failsAtEvent) {
        return (request, out, socket) -> {
            String after = request.header("After");
            int from = after.isEmpty() ? 0 : Integer.parseInt(after) + 1;
            TestUpstream.write(out, head(request));
            if (failsAtEvent < EVENTS) {
                TestUpstream.write(out, chunk(events(from, failsAtEvent) + "id: " + failsAtEvent + "\nda"));
                return false;
            }
            TestUpstream.write(out, chunk(events(from, EVENTS)) + "0\r\n\r\n");
            return true;
        };
    }

    @Test
    void prefillAndDecodeRunOnDifferentEngines() throws Exception {
        try (TestUpstream prefill = new TestUpstream(TestUpstream.ok("handle-1"));
                TestUpstream decode = new TestUpstream(streamUntil(EVENTS));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("p", "brain", prefill, EngineRole.PREFILL);
            harness.add("d", "brain", decode, EngineRole.DECODE);
            harness.start();
            HttpResponse<String> response = harness.send(harness.request("stream", "r-1", 4_000));
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).isEqualTo(events(0, EVENTS));
            assertThat(prefill.received().get(0).header("Only-Prompt")).isEqualTo("1");
            assertThat(decode.received().get(0).header("Source")).isEqualTo(prefill.address() + "/handle-1");
        }
    }

    /** Guards against missing or repeated events when a stream resumes at another engine. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 5, 11})
    void resumableStreamContinuesAtAnotherEngine(int failsAtEvent) throws Exception {
        try (TestUpstream failing = new TestUpstream(streamUntil(failsAtEvent));
                TestUpstream healthy = new TestUpstream(streamUntil(EVENTS));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", failing, EngineRole.DECODE);
            harness.add("b", "brain", healthy, EngineRole.DECODE);
            harness.start();
            HttpResponse<String> response = harness.send(harness.request("resumable", "r-1", 4_000));
            assertThat(response.body()).isEqualTo(events(0, EVENTS));
            assertThat(healthy.received()).hasSize(1);
        }
    }

    /** Guards against a stream without a length that looks complete although it ended within an event, or was reset. */
    @ParameterizedTest
    @CsvSource({"'', false, true", "'id: 12', false, false", "'id: 12\ndata: x\n', false, false", "'', true, false"})
    void streamThatEndsWithItsConnectionIsCompleteAfterItsLastEvent(String rest, boolean reset, boolean complete)
            throws Exception {
        TestUpstream.Script untilClose = (request, out, socket) -> {
            TestUpstream.write(
                    out,
                    "HTTP/1.1 200 OK\r\nId: " + request.header("Id")
                            + "\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n" + events(0, EVENTS) + rest);
            if (reset) {
                pause(RESET_AFTER_MILLIS);
                socket.setSoLinger(true, 0);
            }
            return false;
        };
        try (TestUpstream engine = new TestUpstream(untilClose);
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", engine, EngineRole.DECODE);
            harness.start();
            if (complete) {
                assertThat(harness.send(harness.request("stream", "r-1", 4_000)).body())
                        .isEqualTo(events(0, EVENTS));
            } else {
                assertThrows(IOException.class, () -> harness.send(harness.request("stream", "r-1", 4_000)));
            }
        }
    }

    @Test
    void streamThatIsNotResumableIsAbortedAndNotRetried() throws Exception {
        try (TestUpstream failing = new TestUpstream(streamUntil(5));
                TestUpstream healthy = new TestUpstream(streamUntil(EVENTS));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", failing, EngineRole.DECODE);
            harness.add("b", "brain", healthy, EngineRole.DECODE);
            harness.start();
            assertThrows(IOException.class, () -> harness.send(harness.request("stream", "r-1", 4_000)));
            assertThat(healthy.received()).isEmpty();
        }
    }

    @Test
    void requestContinuesAtAnotherEngineWhenOneRefusesTheKvCache() throws Exception {
        try (TestUpstream prefill = new TestUpstream(TestUpstream.ok("handle-1"));
                TestUpstream full = new TestUpstream(TestUpstream.status(503, "Not-Run: 1\r\n"));
                TestUpstream decode = new TestUpstream(streamUntil(EVENTS));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("p", "brain", prefill, EngineRole.PREFILL);
            harness.add("d1", "brain", full, EngineRole.DECODE);
            harness.add("d2", "brain", decode, EngineRole.DECODE);
            harness.start();
            assertThat(harness.send(harness.request("stream", "r-1", 4_000)).body())
                    .isEqualTo(events(0, EVENTS));
        }
    }

    /** Guards against a slow but sound stream that is cut, although nothing else can serve its caller. */
    @ParameterizedTest
    @CsvSource({"stream, false", "stream, true", "resumable, false", "resumable, true"})
    void pauseOfAnEngineDoesNotEndTheStream(String route, boolean otherEngine) throws Exception {
        TestUpstream.Script pausing = (request, out, socket) -> {
            TestUpstream.write(out, head(request) + chunk(events(0, 5)));
            pause(LONG_PAUSE_MILLIS);
            TestUpstream.write(out, chunk(events(5, EVENTS)) + "0\r\n\r\n");
            return true;
        };
        try (TestUpstream engine = new TestUpstream(pausing);
                TestUpstream other = new TestUpstream(streamUntil(EVENTS));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", engine, EngineRole.DECODE);
            if (otherEngine) {
                harness.add("b", "brain", other, EngineRole.DECODE);
            }
            harness.start();
            assertThat(harness.send(harness.request(route, "r-1", 4_500)).body())
                    .isEqualTo(events(0, EVENTS));
        }
    }

    /** Guards against an engine that keeps decoding for a disconnected caller. */
    @ParameterizedTest
    @ValueSource(strings = {"stream", "resumable"})
    void disconnectOfTheCallerCancelsTheRequestAtTheEngine(String route) throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        TestUpstream.Script endless = (request, out, socket) -> {
            TestUpstream.write(out, head(request) + chunk(events(0, 1)));
            started.countDown();
            awaitClose(socket);
            closed.countDown();
            return false;
        };
        try (TestUpstream decode = new TestUpstream(endless);
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("d", "brain", decode, EngineRole.DECODE);
            harness.start();
            var response = harness.sendAsync(harness.request(route, "r-1", 5_000));
            assertThat(started.await(5, TimeUnit.SECONDS)).isTrue();
            response.cancel(true);
            assertThat(closed.await(5, TimeUnit.SECONDS)).isTrue();
        }
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void awaitClose(Socket socket) throws IOException {
        socket.setSoTimeout(20_000);
        try {
            while (socket.getInputStream().read() >= 0) {
                // Waits for the end of the stream and ignores its bytes.
            }
        } catch (java.net.SocketException e) {
            // A reset also closes the connection.
        }
    }
}
