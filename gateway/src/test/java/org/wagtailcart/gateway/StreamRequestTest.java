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
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.EngineRole;

/** Streams: one engine reads the prompt, another generates. */
class StreamRequestTest {
    private static final int EVENTS = 12;

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

    /** Generates from where it is asked to; stops in the middle of an event after some events. */
    private static TestUpstream.Script generates(int breaksAfter) {
        return (request, out, socket) -> {
            String after = request.header("After");
            int from = after.isEmpty() ? 0 : Integer.parseInt(after) + 1;
            TestUpstream.write(out, head(request));
            if (breaksAfter < EVENTS) {
                TestUpstream.write(out, chunk(events(from, breaksAfter) + "id: " + breaksAfter + "\nda"));
                return false;
            }
            TestUpstream.write(out, chunk(events(from, EVENTS)) + "0\r\n\r\n");
            return true;
        };
    }

    @Test
    void thePromptIsReadByOneEngineAndTheStreamComesFromTheOther() throws Exception {
        try (TestUpstream prefill = new TestUpstream(TestUpstream.ok("handle-1"));
                TestUpstream decode = new TestUpstream(generates(EVENTS));
                GatewayTestHarness rig = new GatewayTestHarness()) {
            rig.add("p", "brain", prefill, EngineRole.PREFILL);
            rig.add("d", "brain", decode, EngineRole.DECODE);
            rig.start();
            HttpResponse<String> response = rig.send(rig.request("stream", "r-1", 4_000));
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).isEqualTo(events(0, EVENTS));
            assertThat(prefill.received().get(0).header("Only-Prompt")).isEqualTo("1");
            assertThat(decode.received().get(0).header("Source")).isEqualTo(prefill.address() + "/handle-1");
        }
    }

    /** Only a stream that may be resumed goes on elsewhere; no event is missing or comes twice. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 5, 11})
    void aResumableStreamGoesOnAtAnotherEngine(int breaksAfter) throws Exception {
        try (TestUpstream broken = new TestUpstream(generates(breaksAfter));
                TestUpstream sound = new TestUpstream(generates(EVENTS));
                GatewayTestHarness rig = new GatewayTestHarness()) {
            rig.add("a", "brain", broken, EngineRole.DECODE);
            rig.add("b", "brain", sound, EngineRole.DECODE);
            rig.start();
            HttpResponse<String> response = rig.send(rig.request("resumable", "r-1", 4_000));
            assertThat(response.body()).isEqualTo(events(0, EVENTS));
            assertThat(sound.received()).hasSize(1);
        }
    }

    @Test
    void anotherStreamBreaksOffVisiblyAndDoesNotRunAgain() throws Exception {
        try (TestUpstream broken = new TestUpstream(generates(5));
                TestUpstream sound = new TestUpstream(generates(EVENTS));
                GatewayTestHarness rig = new GatewayTestHarness()) {
            rig.add("a", "brain", broken, EngineRole.DECODE);
            rig.add("b", "brain", sound, EngineRole.DECODE);
            rig.start();
            assertThrows(IOException.class, () -> rig.send(rig.request("stream", "r-1", 4_000)));
            assertThat(sound.received()).isEmpty();
        }
    }

    @Test
    void anEngineThatRefusesTheCacheDoesNotEndTheRequest() throws Exception {
        try (TestUpstream prefill = new TestUpstream(TestUpstream.ok("handle-1"));
                TestUpstream full = new TestUpstream(TestUpstream.status(503, "Not-Run: 1\r\n"));
                TestUpstream decode = new TestUpstream(generates(EVENTS));
                GatewayTestHarness rig = new GatewayTestHarness()) {
            rig.add("p", "brain", prefill, EngineRole.PREFILL);
            rig.add("d1", "brain", full, EngineRole.DECODE);
            rig.add("d2", "brain", decode, EngineRole.DECODE);
            rig.start();
            assertThat(rig.send(rig.request("stream", "r-1", 4_000)).body()).isEqualTo(events(0, EVENTS));
        }
    }

    /** The engine must not work on for a caller who has left. */
    @ParameterizedTest
    @ValueSource(strings = {"stream", "resumable"})
    void aCallerWhoLeavesEndsTheWorkAtTheEngine(String route) throws Exception {
        CountDownLatch working = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        TestUpstream.Script endless = (request, out, socket) -> {
            TestUpstream.write(out, head(request) + chunk(events(0, 1)));
            working.countDown();
            awaitClose(socket);
            closed.countDown();
            return false;
        };
        try (TestUpstream decode = new TestUpstream(endless);
                GatewayTestHarness rig = new GatewayTestHarness()) {
            rig.add("d", "brain", decode, EngineRole.DECODE);
            rig.start();
            var response = rig.sendAsync(rig.request(route, "r-1", 5_000));
            assertThat(working.await(5, TimeUnit.SECONDS)).isTrue();
            response.cancel(true);
            assertThat(closed.await(5, TimeUnit.SECONDS)).isTrue();
        }
    }

    private static void awaitClose(Socket socket) throws IOException {
        socket.setSoTimeout(20_000);
        try {
            while (socket.getInputStream().read() >= 0) {
                // Only the end counts.
            }
        } catch (java.net.SocketException e) {
            // A reset is an end as well.
        }
    }
}
