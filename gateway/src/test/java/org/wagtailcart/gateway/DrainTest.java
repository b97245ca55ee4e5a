package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a shutdown that never completes because callers keep sending requests. */
class DrainTest {
    @Test
    void afterTheGracePeriodNewRequestsAreRefusedAndTheOpenOneCompletes() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        TestUpstream.Script slow = (request, out, socket) -> {
            received.countDown();
            try {
                boolean unused = release.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return TestUpstream.ok("late").respond(request, out, socket);
        };
        try (TestUpstream upstream = new TestUpstream(slow);
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", upstream, null);
            harness.start();
            CompletableFuture<HttpResponse<String>> open = harness.sendAsync(harness.request("unsafe", "r-1", 5_000));
            assertThat(received.await(5, TimeUnit.SECONDS)).isTrue();
            CompletableFuture<Void> drained = harness.role().drain();
            // The grace period of the harness is 0 ms.
            TimeUnit.MILLISECONDS.sleep(200);
            assertThat(harness.send(harness.request("unsafe", "r-2", 2_000)).statusCode())
                    .isEqualTo(503);
            assertThat(upstream.received()).hasSize(1);
            assertThat(drained.isDone()).isFalse();
            release.countDown();
            assertThat(open.get(5, TimeUnit.SECONDS).body()).isEqualTo("late");
            drained.get(5, TimeUnit.SECONDS);
        }
    }
}
