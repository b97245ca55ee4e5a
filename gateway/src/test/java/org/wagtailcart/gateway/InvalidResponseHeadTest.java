package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.EngineRole;

/**
 * Guards against a caller who waits without an answer because an upstream sent a header field that cannot be forwarded.
 */
class InvalidResponseHeadTest {
    private static final String EVENT = "id: 0\ndata: x\n\n";

    @ParameterizedTest
    @CsvSource({
        "safe, St\u2603mp: s",
        "unsafe, St\u00e4mp: s",
        "stream, St\u2603mp: s",
        "unsafe, two words: s",
        "unsafe, X: a\u0000b",
        "unsafe, X: a\rb"
    })
    void aResponseWithAnInvalidHeaderFieldIsAFailure(String route, String line) throws Exception {
        TestUpstream.Script script = (request, out, socket) -> {
            TestUpstream.write(
                    out,
                    "HTTP/1.1 200 OK\r\nId: " + request.header("Id") + "\r\nStamp: s\r\n" + line
                            + "\r\nContent-Length: " + EVENT.length() + "\r\n\r\n" + EVENT);
            return true;
        };
        try (TestUpstream upstream = new TestUpstream(script);
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", upstream, null);
            harness.add("b", "brain", upstream, EngineRole.DECODE);
            harness.start();
            HttpResponse<String> answer =
                    harness.sendAsync(harness.request(route, "r", 2_000)).get(5, TimeUnit.SECONDS);
            assertThat(answer.statusCode()).isEqualTo(502);
        }
    }
}
