package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.EngineRole;

/**
 * Guards against a caller who repeats a request under the same id and gets the response to its earlier attempt, because
 * the upstream sent that response once more on a connection that carries the repeat.
 */
class RepeatedIdTest {
    private static final int REQUESTS = 10;
    /** More connections than are tried before a new one is opened. */
    private static final int MANY = 30;

    private static final int TIMEOUT_MILLIS = 2_000;

    private final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();

    /** Upstream that repeats its response to the last run of a request in front of that to the next, per connection. */
    private TestUpstream.Script repeatingItself() {
        Map<Socket, Map<String, String>> sent = new ConcurrentHashMap<>();
        return (request, out, socket) -> {
            String id = request.header("Id");
            int run = runsById.computeIfAbsent(id, first -> new AtomicInteger()).incrementAndGet();
            String earlier = sent.computeIfAbsent(socket, opened -> new ConcurrentHashMap<>())
                    .put(id, response(id, run));
            TestUpstream.write(out, (earlier == null ? "" : earlier) + response(id, run));
            return true;
        };
    }

    private static String response(String id, int run) {
        String body = body(run);
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s" + run + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private static String body(int run) {
        return "id: 0\ndata: run " + run + "\n\n";
    }

    @ParameterizedTest
    @CsvSource({"safe, 0", "safe, 3", "unsafe, 0", "unsafe, 10", "unsafe, 100", "stream, 0", "resumable, 3"})
    void repeatUnderTheSameIdGetsItsOwnResponse(String route, int requestsBetween) throws Exception {
        try (TestUpstream upstream = new TestUpstream(repeatingItself());
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", upstream, null);
            harness.add("b", "brain", upstream, EngineRole.DECODE);
            harness.start();
            for (int i = 0; i < REQUESTS; i++) {
                String id = route + "-" + i;
                assertOwnResponse(harness, route, id);
                List<String> others = IntStream.range(0, requestsBetween)
                        .mapToObj(other -> id + "-" + other)
                        .toList();
                Stream.concat(others.stream(), Stream.of(id)).forEach(next -> assertOwnResponse(harness, route, next));
            }
        }
    }

    /** Sends a request; a success must be the response to its latest run. */
    private void assertOwnResponse(GatewayTestHarness harness, String route, String id) {
        try {
            HttpResponse<String> response = harness.send(harness.request(route, id, TIMEOUT_MILLIS));
            assertWithMessage("status of %s: %s", id, response.body())
                    .that(response.statusCode())
                    .isEqualTo(200);
            int run = runsById.get(id).get();
            assertWithMessage("body of " + id).that(response.body()).isEqualTo(body(run));
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against a refusal of a request because its id was seen before on every kept connection. */
    @ParameterizedTest
    @CsvSource({"safe", "unsafe"})
    void idThatManyConnectionsHaveCarriedIsServed(String route) throws Exception {
        CountDownLatch open = new CountDownLatch(MANY);
        TestUpstream.Script script = (request, out, socket) -> {
            open.countDown();
            awaitAll(open);
            return TestUpstream.ok("").respond(request, out, socket);
        };
        try (TestUpstream upstream = new TestUpstream(script);
                GatewayTestHarness harness = new GatewayTestHarness()) {
            IntStream.range(0, MANY).forEach(i -> harness.add("a-" + i, "stock", upstream, null));
            harness.start();
            List<CompletableFuture<HttpResponse<String>>> responses = IntStream.range(0, MANY)
                    .mapToObj(i -> harness.sendAsync(harness.request(route, "same", 4 * TIMEOUT_MILLIS)))
                    .toList();
            responses.forEach(response -> assertWithMessage("status")
                    .that(response.join().statusCode())
                    .isEqualTo(200));
            assertWithMessage("status of one more")
                    .that(harness.send(harness.request(route, "same", TIMEOUT_MILLIS))
                            .statusCode())
                    .isEqualTo(200);
        }
    }

    private static void awaitAll(CountDownLatch open) {
        try {
            boolean all = open.await(3, TimeUnit.SECONDS);
            assertWithMessage("requests at the same time").that(all).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
