package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.EngineRole;

/**
 * Guards against a stream that has begun and broke off, into which the error response of the next engine is written, or
 * which then looks complete.
 */
class ErrorAfterBrokenStreamTest {
    private static final String EVENTS = "id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\n";
    private static final String HEAD = "HTTP/1.1 200 OK\r\nId: {id}\r\nStamp: s\r\nContent-Type: text/event-stream\r\n";

    private static TestUpstream.Script raw(String response) {
        return (request, out, socket) -> {
            TestUpstream.write(out, response.replace("{id}", request.header("Id")));
            return false;
        };
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 500 X\r\nId: {id}\r\nStamp: s\r\nContent-Length: 8\r\n\r\nfailed\n\n",
                "HTTP/1.1 500 X\r\nId: {id}\r\nContent-Length: 8\r\n\r\nfailed\n\n",
                "HTTP/1.1 503 X\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 8\r\n\r\nfailed\n\n",
                "HTTP/1.1 503 X\r\nId: {id}\r\nStamp: s\r\nContent-Length: 8\r\n\r\nfailed\n\n",
                "HTTP/1.1 421 X\r\nId: {id}\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 404 X\r\nId: {id}\r\nStamp: s\r\nContent-Length: 8\r\n\r\nfailed\n\n",
                "HTTP/1.1 500 X\r\nId: {id}\r\nStamp: s\r\n\r\nfailed\n\n",
                "HTTP/1.1 500 X\r\nId: other\r\nStamp: s\r\nContent-Length: 8\r\n\r\nfailed\n\n",
                "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 8\r\n\r\nfailed\n\n",
                "HTTP/1.1 200 OK\r\nId: {id}\r\nStamp: s\r\nContent-Type: application/json\r\nContent-Length: 17\r\n\r\n{\"error\":\"none\"}\n",
                "HTTP/1.1 200 OK\r\nId: {id}\r\nStamp: s\r\nContent-Type: text/html\r\nContent-Length: 10\r\n\r\nfailed 1\n\n",
                "failed, and no HTTP\n\n",
                ""
            })
    void errorOfTheNextEngineStaysOutOfTheStream(String nextResponse) throws Exception {
        TestUpstream.Script broken = raw(HEAD + "Content-Length: 500\r\n\r\n" + EVENTS + "id: 2\nda");
        try (TestUpstream first = new TestUpstream(broken);
                TestUpstream next = new TestUpstream(raw(nextResponse));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", first, EngineRole.DECODE);
            harness.add("b", "brain", next, EngineRole.DECODE);
            harness.start();
            HttpResponse<InputStream> response = HttpClient.newHttpClient()
                    .send(harness.request("resumable", "r-1", 2_000), HttpResponse.BodyHandlers.ofInputStream());
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            try (InputStream body = response.body()) {
                assertThrows(IOException.class, () -> copy(body, received));
            }
            assertThat(EVENTS).startsWith(received.toString(StandardCharsets.UTF_8));
        }
    }

    private static void copy(InputStream from, ByteArrayOutputStream to) throws IOException {
        for (int next = from.read(); next >= 0; next = from.read()) {
            to.write(next);
        }
    }
}
