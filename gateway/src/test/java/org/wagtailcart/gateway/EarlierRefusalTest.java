package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.EngineRole;

/**
 * Guards against a caller who is told that its request did not run, or whose request runs at a second replica, because a
 * replica that runs it wrote an earlier refusal once more on the same connection.
 */
class EarlierRefusalTest {
    private static final int REQUESTS = 24;
    private static final int WORK_MILLIS = 30;
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
    private static final String ANSWER = "id: 0\ndata: piece\n\n";

    private final ExecutorService delayed = Executors.newCachedThreadPool();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger requests = new AtomicInteger();

    /** Returns a script that refuses every other request, and writes each refusal again after a delay. */
    private TestUpstream.Script refusing(boolean withId, int delayMillis) {
        return (request, out, socket) -> {
            if (requests.getAndIncrement() % 2 == 0) {
                String refusal = "HTTP/1.1 503 X\r\n" + (withId ? "Id: " + request.header("Id") + "\r\n" : "")
                        + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
                TestUpstream.write(out, refusal);
                delayed.execute(() -> writeLater(out, refusal, delayMillis));
                return true;
            }
            return running().respond(request, out, socket);
        };
    }

    private TestUpstream.Script running() {
        return (request, out, socket) -> {
            runs.computeIfAbsent(request.header("Id"), id -> new AtomicInteger())
                    .incrementAndGet();
            pause(WORK_MILLIS);
            return TestUpstream.ok(ANSWER).respond(request, out, socket);
        };
    }

    private static void writeLater(OutputStream out, String text, int delayMillis) {
        try {
            pause(delayMillis);
            TestUpstream.write(out, text);
        } catch (IOException e) {
            // The gateway has closed the connection.
        }
    }

    private static void pause(int millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "unsafe, true, 0",
        "unsafe, true, 2",
        "unsafe, true, 10",
        "unsafe, false, 0",
        "unsafe, false, 2",
        "unsafe, false, 10",
        "stream, true, 2",
        "stream, false, 2",
        "stream, true, 10",
        "stream, false, 10"
    })
    void earlierRefusalDoesNotAnswerTheNextRequest(String route, boolean withId, int delayMillis) throws Exception {
        try (TestUpstream faulty = new TestUpstream(refusing(withId, delayMillis));
                TestUpstream other = new TestUpstream(running());
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", faulty, null);
            harness.add("b", "stock", other, null);
            harness.add("c", "brain", faulty, EngineRole.DECODE);
            harness.add("d", "brain", other, EngineRole.DECODE);
            harness.start();
            for (int i = 0; i < REQUESTS; i++) {
                String id = route + "-" + i;
                int status = status(harness, route, id);
                int ran = runs.getOrDefault(id, new AtomicInteger()).get();
                assertWithMessage("runs of " + id).that(ran).isAtMost(1);
                if (NOT_RUN_STATUSES.contains(status)) {
                    assertWithMessage("runs of " + id + ", refused").that(ran).isEqualTo(0);
                }
            }
        } finally {
            delayed.shutdownNow();
        }
    }

    /** Returns the status, 0 if the connection was closed without a response. */
    private static int status(GatewayTestHarness harness, String route, String id) throws InterruptedException {
        try {
            return harness.send(harness.request(route, id, 2_000)).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }
}
