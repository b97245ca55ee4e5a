package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.EngineRole;

/**
 * Guards against a success for a request that its upstream answered with an error: the upstream sent the beginning of an
 * earlier response once more on the same connection, and its status line was read together with the header fields of the
 * response to the next request.
 */
class MergedResponseHeadTest {
    private static final int TIMEOUT_MILLIS = 2_000;

    private static String response(int status, String id, String firstHeader) {
        String body = "id: 0\ndata: of " + id + "\n\n";
        return "HTTP/1.1 " + status + " Some reason\r\n" + firstHeader + "\r\nId: " + id + "\r\nStamp: s-" + id
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Answers a first request with success, and the next with an error behind the beginning of the first answer. */
    private static TestUpstream.Script script(int cutAt, int errorStatus, String firstHeader) {
        AtomicReference<String> earlier = new AtomicReference<>("");
        return (request, out, socket) -> {
            String id = request.header("Id");
            if (id.startsWith("first")) {
                earlier.set(response(200, id, firstHeader));
                TestUpstream.write(out, earlier.get());
                return true;
            }
            TestUpstream.write(out, earlier.get().substring(0, cutAt) + response(errorStatus, id, firstHeader));
            return true;
        };
    }

    @ParameterizedTest
    @CsvSource({
        "safe, 500, Content-Type: text/plain",
        "unsafe, 500, Content-Type: text/plain",
        "unsafe, 404, Server: stand-in",
        "unsafe, 504, Date: Sat",
        "stream, 500, Content-Type: text/event-stream",
        "resumable, 500, Content-Type: text/event-stream"
    })
    void errorBehindThePartOfAnEarlierSuccessIsNoSuccess(String route, int errorStatus, String firstHeader)
            throws Exception {
        int length = response(200, "first-0", firstHeader).length();
        try (TestUpstream upstream = new TestUpstream(TestUpstream.ok(""));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", upstream, null);
            harness.add("b", "brain", upstream, EngineRole.DECODE);
            harness.start();
            List<Integer> successes = IntStream.rangeClosed(0, length)
                    .filter(cutAt -> {
                        upstream.script(script(cutAt, errorStatus, firstHeader));
                        status(harness, route, "first-" + cutAt % 10);
                        return status(harness, route, "next-" + cutAt) / 100 == 2;
                    })
                    .boxed()
                    .toList();
            assertWithMessage("lengths of the part after which an error was a success")
                    .that(successes)
                    .isEmpty();
        }
    }

    /** Guards against a request that runs twice: the refusal in front of its success hides within a field. */
    @ParameterizedTest
    @CsvSource({"unsafe", "stream"})
    void successBehindThePartOfAnEarlierRefusalRunsOnce(String route) throws Exception {
        String refusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRetry-After: 0.0";
        Set<Socket> reused = ConcurrentHashMap.newKeySet();
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        TestUpstream.Script script = (request, out, socket) -> {
            String id = request.header("Id");
            runs.computeIfAbsent(id, first -> new AtomicInteger()).incrementAndGet();
            String late = reused.add(socket) ? "" : refusal;
            TestUpstream.write(out, late + response(200, id, "Server: stand-in"));
            return true;
        };
        try (TestUpstream first = new TestUpstream(script);
                TestUpstream second = new TestUpstream(script);
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", first, null);
            harness.add("b", "stock", second, null);
            harness.add("c", "brain", first, EngineRole.DECODE);
            harness.add("d", "brain", second, EngineRole.DECODE);
            harness.start();
            IntStream.range(0, 8).forEach(i -> {
                int status = status(harness, route, route + "-" + i);
                assertWithMessage("runs of request %s", i)
                        .that(runs.get(route + "-" + i).get())
                        .isEqualTo(1);
                assertWithMessage("status of request %s", i).that(status).isNotEqualTo(503);
            });
        }
    }

    /** Guards against sound responses that are rejected because a field resembles a status line. */
    @ParameterizedTest
    @CsvSource({"Via: HTTP/1.1 192.0.2.1", "Warning: 199 HTTP/1.1 2004-draft", "Via: HTTP/1.1 proxy.example"})
    void fieldThatNamesTheProtocolIsAccepted(String field) throws Exception {
        TestUpstream.Script script = (request, out, socket) -> {
            TestUpstream.write(out, response(200, request.header("Id"), field));
            return true;
        };
        try (TestUpstream upstream = new TestUpstream(script);
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", upstream, null);
            harness.start();
            assertWithMessage(field).that(status(harness, "unsafe", "r")).isEqualTo(200);
        }
    }

    /** Returns the status, 0 if the connection was closed without a response. */
    private static int status(GatewayTestHarness harness, String route, String id) {
        try {
            HttpResponse<String> response = harness.send(harness.request(route, id, TIMEOUT_MILLIS));
            return response.statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
