package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.EngineRole;

/**
 * Guards against a connection that stays in use after a response to another request has arrived on it: each response
 * that follows on it belongs to the request before.
 */
class ConnectionAfterMismatchTest {
    private static final int REQUESTS = 20;

    private final Map<Socket, String> responses = new ConcurrentHashMap<>();
    private final AtomicInteger requestsOnWrongConnections = new AtomicInteger();

    /** Answers the second request of each connection with the first response and then its own, as later ones. */
    private TestUpstream.Script script(String body) {
        Map<Socket, AtomicInteger> requestCounts = new ConcurrentHashMap<>();
        return (request, out, socket) -> {
            String response = "HTTP/1.1 200 OK\r\nId: " + request.header("Id") + "\r\nStamp: s\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body;
            int count = requestCounts
                    .computeIfAbsent(socket, opened -> new AtomicInteger())
                    .incrementAndGet();
            if (count == 1) {
                responses.put(socket, response);
            } else if (count == 2) {
                TestUpstream.write(out, responses.get(socket));
            } else {
                requestsOnWrongConnections.incrementAndGet();
            }
            TestUpstream.write(out, response);
            return true;
        };
    }

    @ParameterizedTest
    @CsvSource({"safe, ''", "unsafe, ''", "unsafe, some text", "stream, ''", "resumable, ''"})
    void connectionWithAResponseToAnotherRequestIsClosed(String route, String body) throws Exception {
        try (TestUpstream upstream = new TestUpstream(script(body));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", upstream, null);
            harness.add("b", "brain", upstream, EngineRole.DECODE);
            harness.start();
            for (int i = 0; i < REQUESTS; i++) {
                HttpResponse<String> response = harness.send(harness.request(route, route + "-" + i, 2_000));
                assertWithMessage("status of request " + i)
                        .that(response.statusCode())
                        .isAnyOf(200, 502);
            }
            assertWithMessage("requests after a response to another request")
                    .that(requestsOnWrongConnections.get())
                    .isEqualTo(0);
        }
    }
}
