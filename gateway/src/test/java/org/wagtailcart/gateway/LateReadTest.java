package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.EngineRole;

/**
 * Guards against requests that are held past their timeout because it was counted from when a busy gateway read them,
 * as after a restart under a burst.
 */
class LateReadTest {
    private static final int REQUESTS = 10;
    private static final long DELAY_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 1_600;
    /** Later than the timeout counted from sending and earlier than the timeout counted from reading. */
    private static final long LIMIT_MILLIS = 2_100;

    @ParameterizedTest
    @ValueSource(strings = {"safe", "unsafe", "stream"})
    void timeoutsIncludeTheTimeBeforeARequestIsRead(String route) throws Exception {
        TestUpstream.Script silent = (request, out, socket) -> {
            if (!request.header("Id").equals("first")) {
                awaitQuietly(new CountDownLatch(1));
            }
            return TestUpstream.ok("done").respond(request, out, socket);
        };
        try (TestUpstream upstream = new TestUpstream(silent);
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", upstream, null);
            harness.add("b", "brain", upstream, EngineRole.DECODE);
            harness.start();
            CountDownLatch busy = new CountDownLatch(1);
            CountDownLatch release = new CountDownLatch(1);
            harness.protocol().beforeParse(() -> {
                busy.countDown();
                awaitQuietly(release);
            });
            var first = harness.sendAsync(harness.request("safe", "first", 5_000));
            assertThat(busy.await(5, TimeUnit.SECONDS)).isTrue();
            long sentNanos = System.nanoTime();
            List<CompletableFuture<HttpResponse<String>>> answers = IntStream.range(0, REQUESTS)
                    .mapToObj(i -> harness.sendAsync(harness.request(route, "late-" + i, TIMEOUT_MILLIS)))
                    .toList();
            TimeUnit.MILLISECONDS.sleep(DELAY_MILLIS);
            release.countDown();
            for (CompletableFuture<HttpResponse<String>> answer : answers) {
                assertThat(answer.get(5, TimeUnit.SECONDS).statusCode()).isAtLeast(500);
            }
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos))
                    .isLessThan(LIMIT_MILLIS);
            assertThat(first.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            boolean unused = latch.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
