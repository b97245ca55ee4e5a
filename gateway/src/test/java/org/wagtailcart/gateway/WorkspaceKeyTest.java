package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.workspace.KeyDigest;
import org.wagtailcart.workspace.RevocationPolicy;
import org.wagtailcart.workspace.Workspace;
import org.wagtailcart.workspace.WorkspaceTable;

/** Guards against requests that run without a valid key, keys that reach upstreams, and valid keys that are refused. */
class WorkspaceKeyTest {
    private static final byte[] SALT = {4, 5};
    static final String KEY = "26tta828m82thhkmgjqn";
    private static final String OTHER_KEY = "irth5mgjy5rcpihhacru";

    private static WorkspaceTable table(String... keys) {
        return new WorkspaceTable(
                SALT,
                List.of(new Workspace(
                        "hule",
                        List.of(keys).stream()
                                .map(key -> KeyDigest.of(SALT, key))
                                .toList(),
                        2)));
    }

    /** Brings a table with workspaces into force after the gateway has served without. */
    static void startWithKeys(GatewayTestHarness harness, String... keys) throws InterruptedException {
        harness.start();
        harness.workspaces(2, table(keys));
        harness.awaitTable(2);
    }

    static HttpRequest withHeaders(HttpRequest request, String... headers) {
        return HttpRequest.newBuilder(request, (name, value) -> true)
                .headers(headers)
                .build();
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: x\n\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns a script that streams one event, and after a pause another one and the end or only half of it. */
    private static TestUpstream.Script stream(int firstId, long pauseMillis, boolean complete) {
        return (request, out, socket) -> {
            TestUpstream.write(
                    out,
                    "HTTP/1.1 200 OK\r\nId: " + request.header("Id")
                            + "\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + chunk(event(firstId)));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMillis));
            TestUpstream.write(out, complete ? chunk(event(firstId + 1)) + "0\r\n\r\n" : "5\r\nid");
            return complete;
        };
    }

    @ParameterizedTest
    @CsvSource({
        // route, key, status, workspace at the upstream
        "unsafe, " + KEY + ", 200, hule",
        "unsafe, " + OTHER_KEY + ", 401, ''",
        "unsafe, '', 401, ''",
        "stream, " + OTHER_KEY + ", 401, ''",
        "safe, '', 200, ''",
        "safe, " + KEY + ", 200, hule",
        "safe, " + OTHER_KEY + ", 200, ''",
    })
    void onlyOpenRoutesServeWithoutAKey(String route, String key, int status, String workspace) throws Exception {
        try (TestUpstream replica = new TestUpstream(TestUpstream.ok("fine"));
                TestUpstream engine = new TestUpstream(stream(0, 0, true));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", replica, null);
            harness.add("d", "brain", engine, EngineRole.DECODE);
            startWithKeys(harness, KEY);
            HttpRequest request = withHeaders(harness.request(route, "r-1", 3_000), "Workspace", "forged");
            HttpResponse<String> response = harness.send(key.isEmpty() ? request : withHeaders(request, "Key", key));
            assertThat(response.statusCode()).isEqualTo(status);
            assertThat(response.headers().firstValue("Challenge").isPresent()).isEqualTo(status == 401);
            assertThat(engine.received()).isEmpty();
            assertThat(replica.received()).hasSize(status == 200 ? 1 : 0);
            if (status == 200) {
                TestUpstream.Received received = replica.received().get(0);
                assertThat(received.header("Key")).isEmpty();
                assertThat(received.header("Workspace")).isEqualTo(workspace);
                // Two ranks for each priority, 2 of the workspace instead of 0 of the route.
                assertThat(received.header("Rank")).isEqualTo(workspace.isEmpty() ? "0" : "4");
            } else {
                assertThat(response.body()).contains("1006");
            }
        }
    }

    @Test
    void aTableWithoutWorkspacesForwardsEverything() throws Exception {
        try (TestUpstream replica = new TestUpstream(TestUpstream.ok("fine"));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", replica, null);
            harness.start();
            harness.send(withHeaders(harness.request("unsafe", "r-1", 3_000), "Key", "any", "Workspace", "mine"));
            assertThat(replica.received().get(0).header("Key")).isEqualTo("any");
            assertThat(replica.received().get(0).header("Workspace")).isEqualTo("mine");
        }
    }

    /** Guards against a prefill, a resumed stream or a retry that carries the key or lacks the workspace. */
    @Test
    void everyRequestToAnUpstreamNamesTheWorkspaceOnly() throws Exception {
        try (TestUpstream prefill = new TestUpstream(TestUpstream.ok("handle-1"));
                TestUpstream failing = new TestUpstream(stream(0, 0, false));
                TestUpstream healthy = new TestUpstream(stream(1, 0, true));
                TestUpstream refusing = new TestUpstream(TestUpstream.status(503, "Not-Run: 1\r\n"));
                TestUpstream replica = new TestUpstream(TestUpstream.ok("fine"));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("p", "brain", prefill, EngineRole.PREFILL);
            harness.add("a", "brain", failing, EngineRole.DECODE);
            harness.add("b", "brain", healthy, EngineRole.DECODE);
            harness.add("e", "stock", refusing, null);
            harness.add("f", "stock", replica, null);
            startWithKeys(harness, KEY);
            harness.send(withHeaders(harness.request("resumable", "r-1", 4_000), "Key", KEY));
            harness.send(withHeaders(harness.request("unsafe", "r-2", 3_000), "Key", KEY));
            assertThat(prefill.received()).isNotEmpty();
            assertThat(failing.received()).isNotEmpty();
            assertThat(healthy.received().get(0).header("After")).isEqualTo("0");
            assertThat(refusing.received()).hasSize(1);
            assertThat(replica.received()).hasSize(1);
            List.of(prefill, failing, healthy, refusing, replica).stream()
                    .flatMap(upstream -> upstream.received().stream())
                    .forEach(received -> {
                        boolean release = received.line().startsWith("DELETE");
                        assertThat(received.header("Workspace")).isEqualTo(release ? "" : "hule");
                        assertThat(received.headers().values()).doesNotContain(KEY);
                    });
        }
    }

    /** Guards against a withdrawn key that is still accepted on a connection, and a running stream that is cut for it. */
    @Test
    void aWithdrawnKeyIsRefusedOnAKeptConnectionAndItsStreamContinues() throws Exception {
        try (TestUpstream replica = new TestUpstream(TestUpstream.ok("fine"));
                TestUpstream engine = new TestUpstream(stream(0, 1_200, true));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", replica, null);
            harness.add("d", "brain", engine, EngineRole.DECODE);
            startWithKeys(harness, KEY, OTHER_KEY);
            HttpRequest old = withHeaders(harness.request("unsafe", "r-1", 3_000), "Key", KEY);
            HttpRequest rotated = withHeaders(harness.request("unsafe", "r-2", 3_000), "Key", OTHER_KEY);
            assertThat(harness.send(old).statusCode()).isEqualTo(200);
            assertThat(harness.send(rotated).statusCode()).isEqualTo(200);
            var stream = harness.sendAsync(withHeaders(harness.request("stream", "r-3", 4_000), "Key", KEY));
            for (int i = 0; i < 200 && engine.received().isEmpty(); i++) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            harness.workspaces(3, table(OTHER_KEY));
            harness.awaitTable(3);
            assertThat(harness.send(old).statusCode()).isEqualTo(401);
            assertThat(harness.send(rotated).statusCode()).isEqualTo(200);
            assertThat(harness.send(old).statusCode()).isEqualTo(401);
            HttpResponse<String> streamed = stream.get(5, TimeUnit.SECONDS);
            assertThat(streamed.statusCode()).isEqualTo(200);
            assertThat(streamed.body()).isEqualTo(event(0) + event(1));
            assertThat(replica.received()).hasSize(3);
        }
    }

    /** Guards against a request that runs with a key that was withdrawn while its body arrived. */
    @Test
    void aKeyThatIsWithdrawnDuringTheBodyIsRefused() throws Exception {
        try (TestUpstream replica = new TestUpstream(TestUpstream.ok("fine"));
                GatewayTestHarness harness = new GatewayTestHarness();
                Socket caller = new Socket()) {
            harness.add("a", "stock", replica, null);
            startWithKeys(harness, KEY);
            caller.connect(new InetSocketAddress(
                    harness.callers().ip(), harness.callers().port()));
            caller.setSoTimeout(5_000);
            TestUpstream.write(
                    caller.getOutputStream(),
                    "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nId: r-1\r\nAllowed: 4000\r\nKey: " + KEY
                            + "\r\nContent-Length: 4\r\n\r\nbo");
            TimeUnit.MILLISECONDS.sleep(200);
            harness.workspaces(3, table(OTHER_KEY));
            harness.awaitTable(3);
            TestUpstream.write(caller.getOutputStream(), "dy");
            byte[] status = caller.getInputStream().readNBytes("HTTP/1.1 401".length());
            assertThat(new String(status, StandardCharsets.ISO_8859_1)).isEqualTo("HTTP/1.1 401");
            assertThat(replica.received()).isEmpty();
        }
    }

    /** Guards against a 401 by a table that may be outdated, and a strict gateway that accepts withdrawn keys for long. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aGatewayOutOfContactRefusesAsNotRun(boolean strict) throws Exception {
        try (TestUpstream replica = new TestUpstream(TestUpstream.ok("fine"));
                GatewayTestHarness harness = GatewayTestHarness.withRevocation(new RevocationPolicy(strict, 2_500))) {
            harness.add("a", "stock", replica, null);
            startWithKeys(harness, KEY);
            HttpRequest valid = withHeaders(harness.request("unsafe", "r-1", 3_000), "Key", KEY);
            HttpRequest unknown = withHeaders(harness.request("unsafe", "r-2", 3_000), "Key", OTHER_KEY);
            assertThat(harness.send(unknown).statusCode()).isEqualTo(401);
            harness.control(false, 0);
            TimeUnit.MILLISECONDS.sleep(2_900);
            HttpResponse<String> refused = harness.send(unknown);
            assertThat(refused.statusCode()).isEqualTo(503);
            assertThat(refused.body()).contains("4015");
            assertThat(refused.headers().firstValue("Retry-After")).isPresent();
            assertThat(refused.headers().firstValue("Challenge")).isEmpty();
            assertThat(harness.send(valid).statusCode()).isEqualTo(strict ? 503 : 200);
            assertThat(harness.send(harness.request("safe", "r-3", 3_000)).statusCode())
                    .isEqualTo(200);
            harness.control(true, 0);
            for (int i = 0; i < 500 && harness.role().dump().tableAgeMillis() > 1_000; i++) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            assertThat(harness.send(valid).statusCode()).isEqualTo(200);
            assertThat(harness.send(unknown).statusCode()).isEqualTo(401);
        }
    }

    /** Guards against a 401 by an outdated table when a newer one that has the key is installed and confirmed meanwhile. */
    @Test
    void aConfirmationOfTheNextTableDoesNotConfirmTheFormerOne() throws Exception {
        try (TestUpstream replica = new TestUpstream(TestUpstream.ok("fine"));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", replica, null);
            startWithKeys(harness, KEY);
            HttpRequest added = withHeaders(harness.request("unsafe", "r-1", 3_000), "Key", OTHER_KEY);
            assertThat(harness.send(added).statusCode()).isEqualTo(401);
            harness.control(false, 0);
            TimeUnit.MILLISECONDS.sleep(2_900);
            harness.protocol().beforeKey(() -> {
                harness.protocol().beforeKey(() -> {});
                harness.workspaces(3, table(KEY, OTHER_KEY));
                harness.control(true, 0);
                for (int i = 0; i < 500 && harness.role().dump().tableAgeMillis() > 1_000; i++) {
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
                }
            });
            assertThat(harness.send(added).statusCode()).isEqualTo(503);
            assertThat(harness.send(added).statusCode()).isEqualTo(200);
        }
    }
}
