package org.wagtailcart.control.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.FleetPlanner;
import org.wagtailcart.control.FleetSnapshot;
import org.wagtailcart.control.ObservedLoad;
import org.wagtailcart.control.Samples;
import org.wagtailcart.control.client.CommandRequest;
import org.wagtailcart.control.client.ControlClientImpl;
import org.wagtailcart.control.client.LoadReport;
import org.wagtailcart.control.client.PowerGrant;
import org.wagtailcart.control.client.ProcessIdentity;
import org.wagtailcart.control.client.ProcessesReply;
import org.wagtailcart.control.client.ProcessesRequest;
import org.wagtailcart.control.client.SyncBatch;
import org.wagtailcart.control.client.SyncLoop;
import org.wagtailcart.control.client.SyncRequest;
import org.wagtailcart.fleet.RegisterSidecar;
import org.wagtailcart.fleet.RegisterSidecarResult;
import org.wagtailcart.fleet.SetLifecycle;
import org.wagtailcart.settings.ApplySettings;
import org.wagtailcart.settings.ApplySettingsResult;

/** Guards against faults of the operator interface and of the sync path on a leader and a follower. */
@Timeout(120)
class OperatorServerTest {
    private static final HttpClient HTTP = HttpClient.newHttpClient();
    private static final FleetPlanner GRANTS = new FleetPlanner() {
        @Override
        public List<Object> plan(FleetSnapshot observation, long nowMillis) {
            observation.loads().forEach(load -> loadObserver.accept(load));
            return List.of();
        }

        @Override
        public List<PowerGrant> grants(FleetSnapshot observation, long nowMillis) {
            return List.of(new PowerGrant("e1", 5_000), new PowerGrant("e9", 5_000));
        }
    };

    private static volatile Consumer<ObservedLoad> loadObserver = load -> {};
    private static ControlFixture fixture;
    private static ControlFixture follower;

    @BeforeAll
    static void start() {
        fixture = new ControlFixture(GRANTS);
        follower = new ControlFixture(FleetPlanner.NONE, fixture);
        ApplySettingsResult result = client().submit(
                        new ApplySettings("c1", "test", 0, Samples.engines(3)), ApplySettingsResult.class, 30_000)
                .join();
        assertThat(result.codeNumber()).isEqualTo(0);
    }

    @AfterAll
    static void stop() {
        follower.close();
        fixture.close();
    }

    private static ControlClientImpl client() {
        return new ControlClientImpl(fixture.peers, Samples.CODEC, List.of(fixture.peerAddress), fixture.scheduler);
    }

    private static HttpResponse<String> call(String method, String path, String body, String token)
            throws IOException, InterruptedException {
        return call(fixture, method, path, body, token);
    }

    private static HttpResponse<String> call(
            ControlFixture member, String method, String path, String body, String token)
            throws IOException, InterruptedException {
        return HTTP.send(
                HttpRequest.newBuilder(URI.create("http://" + member.operatorAddress + path))
                        .header("Authorization", "Bearer " + token)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private static JsonNode ok(String method, String path, String body) throws Exception {
        HttpResponse<String> response = call(method, path, body, ControlFixture.TOKEN);
        assertThat(response.body()).doesNotContain("\"error\"");
        assertThat(response.statusCode()).isEqualTo(200);
        return new ObjectMapper().readTree(response.body());
    }

    /**
     * Guards against invalid input that is accepted, stops the server or is rejected without code, run state and field.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            GET  | /nowhere | '' | 404 | 1004 | not-run | /nowhere is unknown
            PUT  | /v1/tree | '' | 404 | 1004 | not-run | PUT /v1/tree is unknown
            GET  | /v1/tree?branch=/none | '' | 404 | 1004 | not-run | branch /none does not exist
            GET  | /v1/tree?below=maybe | '' | 400 | 1001 | not-run | "below" has the value "maybe"
            GET  | /v1/history?limit=0 | '' | 400 | 1001 | not-run | "limit" has the value "0"
            GET  | /v1/compare?from=x | '' | 400 | 1001 | not-run | "from" has the value "x"
            GET  | /v1/compare?from=0&to=99 | '' | 404 | 1004 | not-run | revision 99 is not retained
            GET  | /v1/wait | '' | 400 | 1001 | not-run | "revision" is missing
            GET  | /v1/upstreams/none | '' | 404 | 4006 | not-run | "none" is not in the settings tree
            POST | /v1/tree | '{' | 400 | 1001 | not-run | body
            POST | /v1/tree | 'null' | 400 | 1001 | not-run | body is null
            POST | /v1/tree | '{}' | 400 | 1001 | not-run | "change_id" is missing
            POST | /v1/tree | '{"change_id":"a","operator":"o","expected_revision":1,"edits":[null]}' | 400 | 1001 | not-run | lacks "kind"
            POST | /v1/tree | '{"change_id":"a","operator":"o","edits":[]}' | 400 | 1001 | not-run | "expected_revision" is missing
            POST | /v1/tree | '{"change_id":"a b","operator":"o","expected_revision":1,"edits":[]}' | 400 | 1001 | not-run | "change_id" has the value "a b"
            POST | /v1/tree | '{"change_id":"a","operator":"o","expected_revision":"x","edits":[]}' | 400 | 1001 | not-run | "expected_revision"
            POST | /v1/tree | '{"change_id":"a","operator":"o","nope":1}' | 400 | 1001 | not-run | "nope"
            POST | /v1/tree | '{"change_id":"b1","operator":"o","expected_revision":1,"edits":[{"kind":"set","branch":"/a","key":"nope","value":"1"}]}' | 400 | 4002 | not-run | key "nope" is unknown
            POST | /v1/tree | '{"change_id":"b2","operator":"o","expected_revision":7,"edits":[{"kind":"remove-branch","branch":"/upstreams"}]}' | 409 | 4001 | not-run | revision 1 is in force
            POST | /v1/tree | '{"change_id":"b3","operator":"o","expected_revision":1,"edits":[{"kind":"remove-branch","branch":"/upstreams"}]}' | 409 | 4005 | not-run | leaves assistant without an engine
            POST | /v1/tree/ini?change_id=b4&operator=o&expected_revision=1 | 'a = 1' | 400 | 1002 | not-run | stands outside a section
            POST | /v1/tree/ini?operator=o&expected_revision=1 | '' | 400 | 1001 | not-run | "change_id" is missing
            POST | /v1/upstreams/e1/lifecycle | '{"change_id":"b5","operator":"o","lifecycle":"gone"}' | 400 | 1001 | not-run | "gone" is not one of active, draining
            POST | /v1/upstreams/zz/lifecycle | '{"change_id":"b6","operator":"o","lifecycle":"draining"}' | 404 | 4006 | not-run | zz
            POST | /v1/upstreams/e1/order | '{"change_id":"b7","role":"both","expected_order_number":0}' | 400 | 1001 | not-run | role "both" is not one of
            POST | /v1/upstreams/e1/order | '{"change_id":"b8","role":"decode"}' | 400 | 1001 | not-run | "expected_order_number" is missing
            POST | /v1/upstreams/e1/order | '{"change_id":"b9","expected_order_number":5}' | 409 | 4012 | not-run | expected order number 5
            POST | /v1/members | '{"kind":"promote","member_id":"zz"}' | 400 | 3007 | not-run | member "zz" is unknown
            POST | /v1/members | '{"kind":"add-learner","member_id":"c2","incarnation":1,"address":"x"}' | 400 | 1001 | not-run | not of the form IP:PORT
            """)
    void rejectsInvalidInput(
            String method, String path, String body, int status, int code, String runState, String message)
            throws Exception {
        HttpResponse<String> response = call(method, path, body, ControlFixture.TOKEN);
        JsonNode error = new ObjectMapper().readTree(response.body()).path("error");
        assertThat(error.path("message").asText()).contains(message);
        assertThat(error.path("code").asInt()).isEqualTo(code);
        assertThat(error.path("run_state").asText()).isEqualTo(runState);
        assertThat(error.path("repeat_safe").isBoolean()).isTrue();
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.headers().firstValue("Wagtailcart-Result-Code")).hasValue(String.valueOf(code));
    }

    /** Guards against a request with a wrong token that reaches an endpoint. */
    @ParameterizedTest
    @CsvSource({"GET, /v1/tree", "POST, /v1/tree", "GET, /nowhere", "GET, /v1/dump"})
    void rejectsWrongToken(String method, String path) throws Exception {
        HttpResponse<String> response = call(method, path, "", "other");
        assertThat(response.statusCode()).isEqualTo(401);
        assertThat(response.body()).contains("\"code\":1003");
    }

    /**
     * Guards against a process that misses a change, a wait that succeeds before every process has the revision, an
     * idle upstream that stays in the draining state, and grants that reach the wrong sidecar.
     */
    @Test
    void changesReachProcessesAndReportsReachTheLeader() throws Exception {
        RegisterSidecarResult registered = client().submit(
                        new RegisterSidecar(
                                "s1",
                                7,
                                fixture.state
                                        .published()
                                        .fleet()
                                        .upstreams()
                                        .get("e1")
                                        .sidecarAddress()),
                        RegisterSidecarResult.class,
                        30_000)
                .get(30, TimeUnit.SECONDS);
        assertThat(registered.codeNumber()).isEqualTo(0);
        LoadReport idle = new LoadReport("e1", true, 0, 0, 0, 0, 0, 0, false);
        try (SyncLoop loop = new SyncLoop(
                new ProcessIdentity("s1", 7, "sidecar", "h", "d"),
                List.of(fixture.peerAddress),
                fixture.peers,
                Samples.CODEC,
                fixture.scheduler,
                () -> List.of(idle))) {
            CompletableFuture<Void> granted = new CompletableFuture<>();
            CompletableFuture<Void> drained = new CompletableFuture<>();
            loop.onChange(() -> loop.upstream("e1")
                    .filter(view -> view.lifecycle() == Lifecycle.DRAINED)
                    .ifPresent(view -> drained.complete(null)));
            loop.start();
            ScheduledFuture<?> polling = fixture.scheduler.scheduleWithFixedDelay(
                    () -> {
                        if (loop.powerGrantDeadlineMillis("e1") > 0) {
                            granted.complete(null);
                        }
                    },
                    10,
                    10,
                    TimeUnit.MILLISECONDS);
            granted.get(60, TimeUnit.SECONDS);
            polling.cancel(false);
            assertThat(loop.powerGrantDeadlineMillis("e9")).isEqualTo(0);
            ok(
                    "POST",
                    "/v1/upstreams/e1/lifecycle",
                    "{\"change_id\":\"d1\",\"operator\":\"o\",\"lifecycle\":\"draining\"}");
            drained.get(60, TimeUnit.SECONDS);
            assertThat(loop.leaseDeadlineMillis()).isGreaterThan(0);
            assertThat(loop.settings().effectiveValue("/upstreams/assistant/e1", "model"))
                    .hasValue("assistant");
            JsonNode wait = ok("GET", "/v1/wait?revision=1&limit_millis=60000", "");
            assertThat(wait.path("in_force").asBoolean()).isTrue();
            JsonNode early = ok("GET", "/v1/wait?revision=2&limit_millis=0", "");
            assertThat(early.path("in_force").asBoolean()).isFalse();
            assertThat(revisionOf(early.path("lagging"), "s1")).isEqualTo(1);
            assertThat(revisionOf(ok("GET", "/v1/status", "").path("processes"), "s1"))
                    .isEqualTo(1);
        }
    }

    /**
     * Guards against a follower that does not forward to the leader: changes, status and load reports must pass through
     * it, and membership changes must fail with NOT_LEADER.
     */
    @Test
    void followerForwardsToTheLeader() throws Exception {
        LoadReport busy = new LoadReport("e2", true, 3, 0, 0, 0, 0, 0, false);
        CompletableFuture<Void> planned = new CompletableFuture<>();
        loadObserver = load -> {
            if (load.report().equals(busy) && load.processId().equals("s2")) {
                planned.complete(null);
            }
        };
        try (SyncLoop loop = new SyncLoop(
                new ProcessIdentity("s2", 8, "sidecar", "h", "d"),
                List.of(follower.peerAddress),
                fixture.peers,
                Samples.CODEC,
                fixture.scheduler,
                () -> List.of(busy))) {
            loop.start();
            planned.get(60, TimeUnit.SECONDS);
            HttpResponse<String> status = call(follower, "GET", "/v1/status", "", ControlFixture.TOKEN);
            assertThat(status.body()).contains("\"process_id\":\"s2\"");
            assertThat(status.body()).contains("\"role\":\"follower\"");
            String order = "{\"change_id\":\"f1\",\"role\":\"decode\",\"expected_order_number\":0}";
            HttpResponse<String> ordered =
                    call(follower, "POST", "/v1/upstreams/e2/order", order, ControlFixture.TOKEN);
            assertThat(ordered.body()).contains("\"order_number\":");
            HttpResponse<String> again = call(fixture, "POST", "/v1/upstreams/e2/order", order, ControlFixture.TOKEN);
            assertThat(again.body()).isEqualTo(ordered.body());
        }
        HttpResponse<String> member = call(
                follower, "POST", "/v1/members", "{\"kind\":\"promote\",\"member_id\":\"c2\"}", ControlFixture.TOKEN);
        assertThat(member.body()).contains("\"code\":3004");
    }

    /** Guards against "in force" while a process that may still serve has an older revision. */
    @Test
    void waitIncludesLaggingProcesses() throws Exception {
        SyncRequest old = new SyncRequest("old", 1, "entry", "h", "d", 0, 0, List.of());
        boolean seen = false;
        while (!seen) {
            fixture.peers.call(fixture.peerAddress, old, Record.class, 30_000).get(30, TimeUnit.SECONDS);
            long observedMillis = fixtureObservedMillis();
            JsonNode response = ok("GET", "/v1/wait?revision=1&limit_millis=0", "");
            // The time is read first, so that the last response comes from a leader that has seen all processes.
            seen = observedMillis >= 2_000
                    && response.path("lagging").toString().contains("\"process_id\":\"old\"");
            assertThat(response.path("in_force").asBoolean()
                            && !response.path("lagging").isEmpty())
                    .isFalse();
        }
    }

    /** Guards against a sync or command with missing fields that makes later tasks of the leader fail. */
    @ParameterizedTest
    @MethodSource("incompleteRequests")
    void rejectsIncompleteRequests(Record request, String field) {
        CompletableFuture<Record> reply = fixture.peers.call(fixture.peerAddress, request, Record.class, 30_000);
        ExecutionException failed = assertThrows(ExecutionException.class, () -> reply.get(60, TimeUnit.SECONDS));
        WagtailcartException cause = (WagtailcartException) failed.getCause();
        assertThat(cause.code().number() / 1000).isEqualTo(1);
        assertThat(cause.runState()).isEqualTo(RunState.NOT_RUN);
        assertThat(cause).hasMessageThat().contains(field);
    }

    static Stream<Arguments> incompleteRequests() {
        SyncRequest nameless = new SyncRequest(null, 1, "entry", "h", "d", 0, 0, List.of());
        return Stream.of(
                Arguments.of(nameless, "sync.processId"),
                Arguments.of(new SyncRequest("p", 1, "entry", "h", "d", 0, 0, null), "sync.reports"),
                Arguments.of(new SyncBatch("c2", List.of(nameless)), "digest.requests[].processId"),
                Arguments.of(command(new ApplySettings("c9", "o", 1, null)), "command.edits"),
                Arguments.of(command(new SetLifecycle("c9", "o", "e1", null, "")), "command.lifecycle"),
                Arguments.of(new CommandRequest(500, new byte[0]), "message type 500 is not a command"),
                Arguments.of(new CommandRequest(200, new byte[] {1}), "cannot be decoded"),
                Arguments.of(
                        new CommandRequest(200, new byte[(3 << 20) + 1]),
                        "command of 3145729 bytes exceeds the limit of 3145728"));
    }

    private static CommandRequest command(Record command) {
        return new CommandRequest(Samples.CODEC.typeNumber(command), Samples.CODEC.encode(command));
    }

    /** Returns the revision of a process in a list of processes, -1 when it is not listed. */
    private static long revisionOf(JsonNode processes, String processId) {
        for (JsonNode process : processes) {
            if (process.path("process_id").asText().equals(processId)) {
                return process.path("revision").asLong();
            }
        }
        return -1;
    }

    private static long fixtureObservedMillis() throws Exception {
        return fixture.peers
                .call(fixture.peerAddress, new ProcessesRequest("test"), ProcessesReply.class, 30_000)
                .get(30, TimeUnit.SECONDS)
                .observedMillis();
    }
}
