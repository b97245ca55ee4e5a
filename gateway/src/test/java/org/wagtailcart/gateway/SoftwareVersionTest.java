package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.control.client.RecordedOrigin;

/** Guards against a stream that is joined from the output of two software versions. */
class SoftwareVersionTest {
    private static final int EVENTS = 12;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nId: {id}\r\nStamp: {version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static String events(int from, int to, String version) {
        return IntStream.range(from, to)
                .mapToObj(i -> "id: " + i + "\ndata: " + version + "\n\n")
                .collect(Collectors.joining());
    }

    private static String chunk(String text) {
        return text.isEmpty() ? "" : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns a script that streams the events after the requested one up to one at which the connection ends. */
    private static TestUpstream.Script stream(String version, int failsAtEvent) {
        return (request, out, socket) -> {
            String after = request.header("After");
            int from = after.isEmpty() ? 0 : Integer.parseInt(after) + 1;
            String head = HEAD.replace("{id}", request.header("Id")).replace("{version}", version);
            TestUpstream.write(out, head + chunk(events(from, Math.min(failsAtEvent, EVENTS), version)));
            if (failsAtEvent < EVENTS) {
                return false;
            }
            TestUpstream.write(out, "0\r\n\r\n");
            return true;
        };
    }

    /** Answers prefills with a handle that names the version, and other requests with a stream. */
    private static TestUpstream.Script engine(String version) {
        return (request, out, socket) -> request.header("Only-Prompt").isEmpty()
                ? stream(version, EVENTS).respond(request, out, socket)
                : TestUpstream.ok("handle-" + version).respond(request, out, socket);
    }

    private static HttpRequest resumption(GatewayTestHarness harness, String id, int after, String resumes) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(harness.request("resumable", id, 4_000), (name, value) -> true);
        if (after >= 0) {
            builder.header("After", Integer.toString(after));
        }
        return (resumes.isEmpty() ? builder : builder.header("Resumes", resumes)).build();
    }

    /** Sends a request and returns the part of the body that arrives before the response breaks off. */
    private static String sendAndReceivePart(GatewayTestHarness harness, String id) throws Exception {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        HttpResponse<InputStream> response = HttpClient.newHttpClient()
                .send(harness.request("resumable", id, 4_000), HttpResponse.BodyHandlers.ofInputStream());
        try (InputStream body = response.body()) {
            assertThrows(IOException.class, () -> body.transferTo(received));
        }
        return received.toString(StandardCharsets.UTF_8);
    }

    /** Guards against a response that begins at an engine of one version and continues at one of another version. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 11})
    void responseContinuesAtTheSameVersion(int failsAtEvent) throws Exception {
        try (TestUpstream failing = new TestUpstream(stream("v1", failsAtEvent));
                TestUpstream other = new TestUpstream(stream("v2", EVENTS));
                TestUpstream same = new TestUpstream(stream("v1", EVENTS));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", failing.address(), EngineRole.DECODE, "v1");
            harness.add("b", "brain", other.address(), EngineRole.DECODE, "v2");
            harness.add("c", "brain", same.address(), EngineRole.DECODE, "v1");
            harness.start();
            HttpResponse<String> response = harness.send(harness.request("resumable", "r-1", 4_000));
            assertThat(response.body()).isEqualTo(events(0, EVENTS, "v1"));
            assertThat(other.received()).isEmpty();
        }
    }

    /** Guards against a stream without an upstream of its version that another version continues. */
    @Test
    void responseEndsWithoutAnUpstreamOfItsVersion() throws Exception {
        try (TestUpstream failing = new TestUpstream(stream("v1", 5));
                TestUpstream other = new TestUpstream(stream("v2", EVENTS));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", failing.address(), EngineRole.DECODE, "v1");
            harness.add("b", "brain", other.address(), EngineRole.DECODE, "v2");
            harness.start();
            assertThat(sendAndReceivePart(harness, "r-1")).doesNotContain("v2");
            assertThat(other.received()).isEmpty();
        }
    }

    /** Guards against a caller that resumes a stream and gets the rest from another version. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void resumedStreamGoesOnAtItsVersion(boolean versionServes) throws Exception {
        try (TestUpstream first = new TestUpstream(stream("v1", 5));
                TestUpstream other = new TestUpstream(stream("v2", EVENTS));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("b", "brain", first.address(), EngineRole.DECODE, "v1");
            harness.start();
            assertThat(sendAndReceivePart(harness, "r-1")).contains("id: 4\n");
            harness.add("a", "brain", other.address(), EngineRole.DECODE, "v2");
            if (versionServes) {
                first.script(stream("v1", EVENTS));
            } else {
                harness.remove("b");
            }
            harness.awaitHostList();
            HttpResponse<String> response = harness.send(resumption(harness, "r-2", 4, "r-1"));
            if (versionServes) {
                assertThat(response.body()).isEqualTo(events(5, EVENTS, "v1"));
            } else {
                assertThat(response.statusCode()).isEqualTo(503);
                assertThat(response.body()).contains("stream-version-gone");
            }
            assertThat(other.received()).isEmpty();
        }
    }

    /** Guards against a stream that is joined because nobody knows its version, or is named wrongly. */
    @ParameterizedTest
    @CsvSource({"''", "unknown", "r-2"})
    void streamOfUnknownVersionIsNotResumedAmongTwoVersions(String resumes) throws Exception {
        try (TestUpstream v1 = new TestUpstream(stream("v1", EVENTS));
                TestUpstream v2 = new TestUpstream(stream("v2", EVENTS));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", v1.address(), EngineRole.DECODE, "v1");
            harness.add("b", "brain", v2.address(), EngineRole.DECODE, "v2");
            harness.start();
            HttpResponse<String> response = harness.send(resumption(harness, "r-2", 4, resumes));
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.body()).contains("stream-version-unknown");
            assertThat(v1.received()).isEmpty();
            assertThat(v2.received()).isEmpty();
        }
    }

    /** Guards against a KV cache that one version writes and another one reads. */
    @ParameterizedTest
    @ValueSource(strings = {"v1", "v2"})
    void kvCacheStaysWithinAVersion(String decodeVersion) throws Exception {
        Map<String, TestUpstream> prefills =
                Map.of("v1", new TestUpstream(engine("v1")), "v2", new TestUpstream(engine("v2")));
        try (TestUpstream decode = new TestUpstream(engine(decodeVersion));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            for (Map.Entry<String, TestUpstream> prefill : prefills.entrySet()) {
                harness.add(
                        "p-" + prefill.getKey(),
                        "brain",
                        prefill.getValue().address(),
                        EngineRole.PREFILL,
                        prefill.getKey());
            }
            harness.add("d", "brain", decode.address(), EngineRole.DECODE, decodeVersion);
            harness.start();
            for (int i = 0; i < 4; i++) {
                harness.send(harness.prompt("resumable", "r-" + i, 4_000, "shared-" + i, "own-" + i));
            }
            assertThat(decode.received()).hasSize(4);
            decode.received()
                    .forEach(request -> assertThat(request.header("Source")).endsWith("handle-" + decodeVersion));
        } finally {
            for (TestUpstream prefill : prefills.values()) {
                prefill.close();
            }
        }
    }

    /** Guards against a stream that another gateway began, and whose version this gateway does not know. */
    @ParameterizedTest
    @CsvSource({"v1, true, 200", "v2, true, 200", "v1, false, 503"})
    void streamOfAnotherGatewayGoesOnAtItsVersion(String version, boolean controlReplies, int status) throws Exception {
        try (TestUpstream v1 = new TestUpstream(stream("v1", EVENTS));
                TestUpstream v2 = new TestUpstream(stream("v2", EVENTS));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", v1.address(), EngineRole.DECODE, "v1");
            harness.add("b", "brain", v2.address(), EngineRole.DECODE, "v2");
            harness.start();
            harness.originMember().recordFromOtherGateway(new RecordedOrigin("r-1", "brain", version, 5_000));
            harness.control(controlReplies, 0);
            HttpResponse<String> response = harness.send(resumption(harness, "r-2", 4, "r-1"));
            assertThat(response.statusCode()).isEqualTo(status);
            if (status == 200) {
                assertThat(response.body()).isEqualTo(events(5, EVENTS, version));
            }
        }
    }

    /** Guards against upstreams of unknown version, as an older control member lists them, that are taken for the same. */
    @Test
    void streamOfAnUnknownVersionIsNotContinued() throws Exception {
        try (TestUpstream failing = new TestUpstream(stream("?", 5));
                TestUpstream other = new TestUpstream(stream("??", EVENTS));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", failing.address(), EngineRole.DECODE, "");
            harness.add("b", "brain", other.address(), EngineRole.DECODE, "");
            harness.start();
            assertThat(sendAndReceivePart(harness, "r-1")).doesNotContain("??");
            HttpResponse<String> response = harness.send(resumption(harness, "r-2", 4, "r-1"));
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.body()).contains("stream-version-unknown");
            assertThat(other.received()).isEmpty();
        }
    }

    /** Guards against a resumed stream that another service of its route continues. */
    @Test
    void streamOfAServiceOutsideTheRouteIsNotResumed() throws Exception {
        try (TestUpstream v1 = new TestUpstream(stream("v1", EVENTS));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", v1.address(), EngineRole.DECODE, "v1");
            harness.start();
            harness.originMember().recordFromOtherGateway(new RecordedOrigin("r-1", "stock", "v1", 5_000));
            HttpResponse<String> response = harness.send(resumption(harness, "r-2", 4, "r-1"));
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.body()).contains("stream-version-gone");
            assertThat(v1.received()).isEmpty();
        }
    }

    /** Guards against a malformed name of a stream that is taken for a stream. */
    @ParameterizedTest
    @ValueSource(strings = {"a b", "r-1,r-2"})
    void malformedNameOfAStreamIsRefused(String resumes) throws Exception {
        try (GatewayTestHarness harness = new GatewayTestHarness();
                TestUpstream v1 = new TestUpstream(stream("v1", EVENTS))) {
            harness.add("a", "brain", v1.address(), EngineRole.DECODE, "v1");
            harness.start();
            HttpResponse<String> response = harness.send(resumption(harness, "r-2", 4, resumes));
            assertThat(response.statusCode()).isEqualTo(400);
            assertThat(response.body()).contains("Resumes");
        }
    }
}
