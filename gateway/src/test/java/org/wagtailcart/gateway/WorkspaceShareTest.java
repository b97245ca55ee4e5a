package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpRequest;
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
import org.wagtailcart.workspace.KeyDigest;
import org.wagtailcart.workspace.Workspace;
import org.wagtailcart.workspace.WorkspaceTable;

/**
 * Guards against a workspace above its share that is served while others wait, that is refused while nothing waits, or
 * whose refusal does not say that the request did not run.
 */
class WorkspaceShareTest {
    private static final byte[] SALT = {4, 5};
    private static final String ABOVE_KEY = "26tta828m82thhkmgjqn";
    private static final String BELOW_KEY = "irth5mgjy5rcpihhacru";
    private static final long RUN_MILLIS = 800;
    private static final long CALLER_TIMEOUT_MILLIS = 4_000;
    /** Slots of each upstream of the harness. */
    private static final int REPLICA_SLOTS = 4;

    private static Workspace workspace(String name, String key) {
        return new Workspace(name, List.of(KeyDigest.of(SALT, key)), 0);
    }

    private static TestUpstream.Script slow(String body) {
        return (request, out, socket) -> {
            pause(RUN_MILLIS);
            return TestUpstream.ok(body).respond(request, out, socket);
        };
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts a gateway with two workspaces, the first of which is above its share of a contended service. */
    private static void start(GatewayTestHarness harness, String service) throws InterruptedException {
        harness.fleet(new FleetReport(
                0,
                0,
                List.of(),
                List.of(new WorkspaceShare(service, "above", 0)),
                0,
                List.of(new ServiceCapacity(service, 5))));
        harness.start();
        harness.workspaces(
                2, new WorkspaceTable(SALT, List.of(workspace("above", ABOVE_KEY), workspace("below", BELOW_KEY))));
        harness.awaitTable(2);
        assertThat(harness.role().dump().sharesKnown()).isTrue();
    }

    private static HttpRequest request(GatewayTestHarness harness, String route, String id, String key) {
        return WorkspaceKeyTest.withHeaders(harness.request(route, id, CALLER_TIMEOUT_MILLIS), "Key", key);
    }

    /** Returns the number of requests that an upstream received, without releases of KV caches. */
    private static long requests(TestUpstream upstream) {
        return upstream.received().stream()
                .filter(received -> received.line().startsWith("POST"))
                .count();
    }

    private static void awaitReceived(TestUpstream upstream, int count) throws InterruptedException {
        for (int i = 0; i < 500 && requests(upstream) < count; i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(requests(upstream)).isEqualTo(count);
    }

    private static void assertRefused(HttpResponse<String> response) {
        assertThat(response.statusCode()).isEqualTo(429);
        assertThat(response.body()).contains("7004");
        double retryAfterSeconds =
                Double.parseDouble(response.headers().firstValue("Retry-After").orElse("0"));
        assertThat(retryAfterSeconds).isGreaterThan(0.0);
        assertThat(retryAfterSeconds).isAtMost(CALLER_TIMEOUT_MILLIS / 3_000.0);
    }

    /** Sends requests of the workspace below its share, and one of the other while they fill the upstream. */
    private static void assertOnlyTheWorkspaceAboveItsShareIsRefused(
            GatewayTestHarness harness, TestUpstream upstream, String route, int fillingRequests) throws Exception {
        assertThat(harness.send(request(harness, route, "idle", ABOVE_KEY)).statusCode())
                .isEqualTo(200);
        List<CompletableFuture<HttpResponse<String>>> filling = IntStream.range(0, fillingRequests)
                .mapToObj(i -> harness.sendAsync(request(harness, route, "fill-" + i, BELOW_KEY)))
                .toList();
        awaitReceived(upstream, 1 + fillingRequests);
        assertRefused(harness.send(request(harness, route, "above", ABOVE_KEY)));
        assertThat(requests(upstream)).isEqualTo(1 + fillingRequests);
        assertThat(harness.send(request(harness, route, "below", BELOW_KEY)).statusCode())
                .isEqualTo(200);
        for (CompletableFuture<HttpResponse<String>> response : filling) {
            assertThat(response.get().statusCode()).isEqualTo(200);
        }
        assertThat(harness.send(request(harness, route, "idle-again", ABOVE_KEY))
                        .statusCode())
                .isEqualTo(200);
    }

    @Test
    void aStreamAboveTheShareIsRefusedOnlyWhileItsEngineHasAQueue() throws Exception {
        try (TestUpstream prefill = new TestUpstream(slow("handle-1"));
                TestUpstream decode = new TestUpstream(TestUpstream.ok("id: 0\ndata: x\n\n"));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("p", "brain", prefill, EngineRole.PREFILL);
            harness.add("d", "brain", decode, EngineRole.DECODE);
            start(harness, "brain");
            assertOnlyTheWorkspaceAboveItsShareIsRefused(harness, prefill, "stream", 1);
        }
    }

    @Test
    void aPlainCallAboveTheShareIsRefusedOnlyWhileItsReplicaHasNoFreeSlot() throws Exception {
        try (TestUpstream replica = new TestUpstream(slow("fine"));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", replica, null);
            start(harness, "stock");
            assertOnlyTheWorkspaceAboveItsShareIsRefused(harness, replica, "unsafe", REPLICA_SLOTS);
        }
    }
}
