package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The shutdown of a gateway that callers would keep busy until it is killed. */
class DrainTest {
    @Test
    void afterTheGracePeriodRequestsAreRefusedAndTheOpenOneIsAnswered() throws Exception {
        CountDownLatch working = new CountDownLatch(1);
        CountDownLatch answer = new CountDownLatch(1);
        TestUpstream.Script slow = (request, out, socket) -> {
            working.countDown();
            try {
                boolean unused = answer.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return TestUpstream.ok("late").answer(request, out, socket);
        };
        try (TestUpstream upstream = new TestUpstream(slow);
                GatewayTestHarness rig = new GatewayTestHarness()) {
            rig.add("a", "stock", upstream, null);
            rig.start();
            CompletableFuture<HttpResponse<String>> open = rig.sendAsync(rig.request("unsafe", "r-1", 5_000));
            assertThat(working.await(5, TimeUnit.SECONDS)).isTrue();
            CompletableFuture<Void> drained = rig.role().drain();
            // The grace period of the rig is 0 ms.
            TimeUnit.MILLISECONDS.sleep(200);
            assertThat(rig.send(rig.request("unsafe", "r-2", 2_000)).statusCode())
                    .isEqualTo(503);
            assertThat(upstream.received()).hasSize(1);
            assertThat(drained.isDone()).isFalse();
            answer.countDown();
            assertThat(open.get(5, TimeUnit.SECONDS).body()).isEqualTo("late");
            drained.get(5, TimeUnit.SECONDS);
        }
    }
}
