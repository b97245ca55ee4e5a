package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.EngineRole;

/** Guards against usage counts that differ from the number of runs that upstreams began. */
class UsageCountTest {
    private static final String STAMP = "Stamp: s\r\n";
    private static final String NOT_RUN = "Not-Run: 1\r\n";

    private static String event(int id) {
        return "id: " + id + "\ndata: x\n\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns a script that streams the given bytes after the head, and ends the connection unless it stays open. */
    private static TestUpstream.Script stream(String body, boolean open) {
        return (request, out, socket) -> {
            TestUpstream.write(
                    out,
                    "HTTP/1.1 200 OK\r\nId: " + request.header("Id")
                            + "\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + body);
            return open;
        };
    }

    private static TestUpstream.Script wholeStream(int firstId) {
        return stream(chunk(event(firstId)) + chunk(event(firstId + 1)) + "0\r\n\r\n", true);
    }

    private static TestUpstream.Script truncatedBody() {
        return (request, out, socket) -> {
            TestUpstream.write(
                    out,
                    "HTTP/1.1 200 OK\r\nId: " + request.header("Id")
                            + "\r\nStamp: s\r\nContent-Length: 20\r\n\r\nhalf");
            return false;
        };
    }

    private static HttpRequest request(GatewayTestHarness harness, String route) {
        return WorkspaceKeyTest.withHeaders(harness.request(route, "r-1", 4_000), "Key", WorkspaceKeyTest.KEY);
    }

    private static Map<String, Long> expected(long count) {
        return count == 0 ? Map.of() : Map.of("hule", count);
    }

    /** Returns the behaviors of the first replica with the expected counts; the second replica is healthy. */
    static Stream<Arguments> firstReplicas() {
        return Stream.of(
                // behavior of the first replica, its script, route, status for the caller, count
                Arguments.of("responds", TestUpstream.ok("fine"), "unsafe", 200, 1),
                Arguments.of("refuses with proof", TestUpstream.status(503, NOT_RUN), "unsafe", 200, 1),
                Arguments.of("is another instance", TestUpstream.status(421, ""), "unsafe", 200, 1),
                Arguments.of("resets the connection after reading", TestUpstream.reset(), "unsafe", 502, 1),
                Arguments.of("resets the connection after reading", TestUpstream.reset(), "safe", 200, 2),
                Arguments.of("returns an error", TestUpstream.status(500, STAMP), "unsafe", 500, 1),
                Arguments.of("returns an error", TestUpstream.status(500, STAMP), "safe", 200, 2),
                Arguments.of("refuses without proof", TestUpstream.status(503, STAMP), "unsafe", 502, 1),
                Arguments.of("truncates the body", truncatedBody(), "unsafe", 502, 1),
                Arguments.of("truncates the body", truncatedBody(), "safe", 200, 2));
    }

    @ParameterizedTest(name = "{0}, {2}: {4}")
    @MethodSource("firstReplicas")
    void aPlainCallCountsOnceForEachReplicaThatRanIt(
            String behavior, TestUpstream.Script script, String route, int status, int count) throws Exception {
        try (TestUpstream first = new TestUpstream(script);
                TestUpstream healthy = new TestUpstream(TestUpstream.ok("fine"));
                GatewayTestHarness harness = GatewayTestHarness.withUsage()) {
            harness.add("a", "stock", first, null);
            harness.add("b", "stock", healthy, null);
            WorkspaceKeyTest.startWithKeys(harness, WorkspaceKeyTest.KEY);
            assertThat(harness.send(request(harness, route)).statusCode()).isEqualTo(status);
            assertThat(harness.awaitUsage()).isEqualTo(expected(count));
        }
    }

    /** Guards against counts of attempts that every upstream refused, and of calls that reach no upstream. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRefusedCallDoesNotCount(boolean listed) throws Exception {
        try (TestUpstream replica = new TestUpstream(TestUpstream.status(503, NOT_RUN));
                TestUpstream engine = new TestUpstream(TestUpstream.status(503, NOT_RUN));
                GatewayTestHarness harness = GatewayTestHarness.withUsage()) {
            if (listed) {
                harness.add("a", "stock", replica, null);
                harness.add("d", "brain", engine, EngineRole.DECODE);
            }
            WorkspaceKeyTest.startWithKeys(harness, WorkspaceKeyTest.KEY);
            assertThat(harness.send(request(harness, "unsafe")).statusCode()).isAnyOf(429, 503);
            assertThat(harness.send(request(harness, "stream")).statusCode()).isAnyOf(429, 503);
            assertThat(replica.received()).hasSize(listed ? 1 : 0);
            assertThat(engine.received()).hasSize(listed ? 1 : 0);
            assertThat(harness.awaitUsage()).isEmpty();
        }
    }

    /** Guards against a prefill that counts as a run of its own, also when its decode engine refuses it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void prefillAndDecodeCountOnce(boolean firstRefuses) throws Exception {
        try (TestUpstream prefill = new TestUpstream(TestUpstream.ok("handle-1"));
                TestUpstream full = new TestUpstream(TestUpstream.status(503, NOT_RUN));
                TestUpstream decode = new TestUpstream(wholeStream(0));
                GatewayTestHarness harness = GatewayTestHarness.withUsage()) {
            harness.add("p", "brain", prefill, EngineRole.PREFILL);
            if (firstRefuses) {
                harness.add("d1", "brain", full, EngineRole.DECODE);
            }
            harness.add("d2", "brain", decode, EngineRole.DECODE);
            WorkspaceKeyTest.startWithKeys(harness, WorkspaceKeyTest.KEY);
            assertThat(harness.send(request(harness, "stream")).body()).isEqualTo(event(0) + event(1));
            assertThat(prefill.received()).isNotEmpty();
            assertThat(full.received()).hasSize(firstRefuses ? 1 : 0);
            assertThat(harness.awaitUsage()).isEqualTo(expected(1));
        }
    }

    /** Guards against a prefill that counts although no decode follows. */
    @Test
    void aPrefillAloneDoesNotCount() throws Exception {
        try (TestUpstream prefill = new TestUpstream(TestUpstream.ok("handle-1"));
                TestUpstream full = new TestUpstream(TestUpstream.status(503, NOT_RUN));
                GatewayTestHarness harness = GatewayTestHarness.withUsage()) {
            harness.add("p", "brain", prefill, EngineRole.PREFILL);
            harness.add("d", "brain", full, EngineRole.DECODE);
            WorkspaceKeyTest.startWithKeys(harness, WorkspaceKeyTest.KEY);
            assertThat(harness.send(request(harness, "stream")).statusCode()).isAnyOf(429, 503);
            assertThat(prefill.received()).isNotEmpty();
            assertThat(full.received()).isNotEmpty();
            assertThat(harness.awaitUsage()).isEmpty();
        }
    }

    /** Guards against a second count of a stream that continues at another engine. */
    @Test
    void aResumedStreamCountsOnce() throws Exception {
        try (TestUpstream failing = new TestUpstream(stream(chunk(event(0)) + "5\r\nid", false));
                TestUpstream healthy = new TestUpstream(wholeStream(1));
                GatewayTestHarness harness = GatewayTestHarness.withUsage()) {
            harness.add("a", "brain", failing, EngineRole.DECODE);
            harness.add("b", "brain", healthy, EngineRole.DECODE);
            WorkspaceKeyTest.startWithKeys(harness, WorkspaceKeyTest.KEY);
            assertThat(harness.send(request(harness, "resumable")).body()).isEqualTo(event(0) + event(1) + event(2));
            assertThat(healthy.received()).hasSize(1);
            assertThat(harness.awaitUsage()).isEqualTo(expected(1));
        }
    }

    /** Guards against a stream that counts before its first event, or that a failure after the first event removes. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aBrokenStreamCountsIfItHadAnEvent(boolean hadEvent) throws Exception {
        String body = hadEvent ? chunk(event(0)) + "5\r\nid" : "5\r\nid";
        try (TestUpstream engine = new TestUpstream(stream(body, false));
                GatewayTestHarness harness = GatewayTestHarness.withUsage()) {
            harness.add("a", "brain", engine, EngineRole.DECODE);
            WorkspaceKeyTest.startWithKeys(harness, WorkspaceKeyTest.KEY);
            if (hadEvent) {
                assertThrows(IOException.class, () -> harness.send(request(harness, "stream")));
            } else {
                assertThat(harness.send(request(harness, "stream")).statusCode())
                        .isEqualTo(502);
            }
            assertThat(engine.received()).hasSize(1);
            assertThat(harness.awaitUsage()).isEqualTo(expected(hadEvent ? 1 : 0));
        }
    }

    /** Guards against counts of callers without a key on an open route, and in a table without workspaces. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRequestWithoutAWorkspaceDoesNotCount(boolean workspaces) throws Exception {
        try (TestUpstream replica = new TestUpstream(TestUpstream.ok("fine"));
                TestUpstream engine = new TestUpstream(wholeStream(0));
                GatewayTestHarness harness = GatewayTestHarness.withUsage()) {
            harness.add("a", "stock", replica, null);
            harness.add("d", "brain", engine, EngineRole.DECODE);
            if (workspaces) {
                WorkspaceKeyTest.startWithKeys(harness, WorkspaceKeyTest.KEY);
            } else {
                harness.start();
                assertThat(harness.send(harness.request("stream", "r-2", 4_000)).statusCode())
                        .isEqualTo(200);
            }
            assertThat(harness.send(harness.request("safe", "r-1", 4_000)).statusCode())
                    .isEqualTo(200);
            assertThat(harness.awaitUsage()).isEmpty();
        }
    }
}
