package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.control.client.FleetReport;
import org.wagtailcart.policy.share.ServiceCapacity;
import org.wagtailcart.policy.share.WorkspaceShare;

/** Guards against limits on callers without a workspace, also while a service is contended and engines have queues. */
class CallerWithoutWorkspaceTest {
    private static final long PREFILL_MILLIS = 800;

    @Test
    void callersWithoutAWorkspaceAreServedWhileTheServiceIsContended() throws Exception {
        TestUpstream.Script slowPrefill = (request, out, socket) -> {
            sleep(PREFILL_MILLIS);
            return TestUpstream.ok("handle-1").respond(request, out, socket);
        };
        try (TestUpstream prefill = new TestUpstream(slowPrefill);
                TestUpstream decode = new TestUpstream(TestUpstream.ok("id: 0\ndata: x\n\n"));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("p", "brain", prefill, EngineRole.PREFILL);
            harness.add("d", "brain", decode, EngineRole.DECODE);
            harness.fleet(new FleetReport(
                    0,
                    0,
                    List.of(),
                    List.of(new WorkspaceShare("brain", "", 0)),
                    0,
                    List.of(new ServiceCapacity("brain", 5))));
            harness.start();
            List<CompletableFuture<HttpResponse<String>>> responses = IntStream.range(0, 5)
                    .mapToObj(i -> harness.sendAsync(harness.request("stream", "r-" + i, 4_000)))
                    .toList();
            for (CompletableFuture<HttpResponse<String>> response : responses) {
                assertThat(response.get().statusCode()).isEqualTo(200);
            }
            assertThat(harness.role().dump().sharesKnown()).isTrue();
            assertThat(harness.role().dump().workspaces()).isEmpty();
        }
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
