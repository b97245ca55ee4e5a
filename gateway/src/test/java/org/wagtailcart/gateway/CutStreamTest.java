package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.EngineRole;

/** Guards against a stream that breaks off and looks complete to a caller whose connection ends with its response. */
class CutStreamTest {
    private static final String EVENTS = "id: 0\ndata: x\n\nid: 1\ndata: y\n\n";
    private static final int TIMEOUT_MILLIS = 10_000;

    /** Connection and protocol version of the caller, or a gateway that is about to stop. */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1, keep-alive, false",
        "HTTP/1.1, close, false",
        "HTTP/1.1, keep-alive, true",
        "HTTP/1.0, close, false",
        "HTTP/1.0, keep-alive, false"
    })
    void streamThatBreaksOffLooksIncomplete(String version, String connection, boolean drains) throws Exception {
        TestUpstream.Script cut = (request, out, socket) -> {
            TestUpstream.write(
                    out,
                    "HTTP/1.1 200 OK\r\nId: " + request.header("Id") + "\r\nStamp: s\r\n"
                            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(EVENTS.length()) + "\r\n" + EVENTS + "\r\n");
            return false;
        };
        try (TestUpstream engine = new TestUpstream(cut);
                GatewayTestHarness harness = GatewayTestHarness.withShutdownLimit(5_000, 20_000)) {
            harness.add("a", "brain", engine, EngineRole.DECODE);
            harness.start();
            if (drains) {
                var unused = harness.role().drain();
            }
            Received received = send(harness, version, connection);
            assertThat(received.text).contains("200 OK");
            assertThat(received.text).contains("id: 1\ndata: y\n\n");
            boolean chunked = received.text.toLowerCase(java.util.Locale.ROOT).contains("transfer-encoding: chunked");
            boolean looksComplete = chunked ? received.text.endsWith("\r\n0\r\n\r\n") : !received.reset;
            assertThat(looksComplete).isFalse();
        }
    }

    /**
     * What a caller reads until the end of its connection.
     *
     * @param reset whether the connection was reset rather than closed
     */
    private record Received(String text, boolean reset) {}

    private static Received send(GatewayTestHarness harness, String version, String connection) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        boolean reset = false;
        try (Socket socket =
                new Socket(harness.callers().ip(), harness.callers().port())) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            TestUpstream.write(
                    socket.getOutputStream(),
                    "POST /stream/x " + version + "\r\nHost: h.example\r\nId: r-1\r\nAllowed: 4000\r\nPrompt: 5000\r\n"
                            + "Connection: " + connection + "\r\nContent-Length: 0\r\n\r\n");
            socket.getInputStream().transferTo(bytes);
        } catch (SocketException e) {
            reset = true;
        }
        return new Received(bytes.toString(StandardCharsets.UTF_8), reset);
    }
}
