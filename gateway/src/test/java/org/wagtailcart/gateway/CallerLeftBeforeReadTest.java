package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.EngineRole;

/**
 * Guards against work for callers who left while their requests waited in the socket buffers of a busy gateway, as they
 * do when gateways restart one after another under a burst.
 */
class CallerLeftBeforeReadTest {
    private static final int CALLERS = 20;

    @ParameterizedTest
    @ValueSource(strings = {"safe", "unsafe", "stream"})
    void requestsOfCallersWhoHaveLeftAreNotSentToUpstreams(String route) throws Exception {
        try (TestUpstream upstream = new TestUpstream(TestUpstream.ok("done"));
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
            for (int i = 0; i < CALLERS; i++) {
                sendAndLeave(harness, route, "left-" + i);
            }
            release.countDown();
            assertThat(first.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
            assertThat(harness.send(harness.request("safe", "last", 5_000)).statusCode())
                    .isEqualTo(200);
            assertThat(upstream.received().stream().map(request -> request.header("Id")))
                    .containsNoneIn(IntStream.range(0, CALLERS)
                            .mapToObj(i -> "left-" + i)
                            .toList());
        }
    }

    private static void sendAndLeave(GatewayTestHarness harness, String route, String id) throws Exception {
        try (Socket socket =
                new Socket(harness.callers().ip(), harness.callers().port())) {
            OutputStream out = socket.getOutputStream();
            out.write(("POST /" + route + "/x HTTP/1.1\r\nHost: h.example\r\nId: " + id
                            + "\r\nPrompt: 100\r\nContent-Length: 4\r\n\r\nbody")
                    .getBytes(StandardCharsets.US_ASCII));
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
