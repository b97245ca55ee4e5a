package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.EngineRole;

/**
 * Guards against a success whose body is that of an earlier response: an upstream that writes responses twice may write
 * the second copy between the head and the body of the next one.
 */
class InsertedResponseTest {
    private static final int REQUESTS = 40;
    /** Requests that fail before the upstream is found to write responses twice, and the one at which it is. */
    private static final int MAX_FAILED = 3;

    private static String body(String id) {
        return "id: 0\ndata: of " + id + "\n\n";
    }

    private static String head(String id) {
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s\r\nContent-Length: " + body(id).length() + "\r\n\r\n";
    }

    /** Inserts the previous response of a connection into every third response. */
    private static TestUpstream.Script script() {
        Map<Socket, String> previous = new ConcurrentHashMap<>();
        AtomicInteger requests = new AtomicInteger();
        return (request, out, socket) -> {
            String id = request.header("Id");
            String inserted = requests.incrementAndGet() % 3 == 0 ? previous.getOrDefault(socket, "") : "";
            previous.put(socket, head(id) + body(id));
            TestUpstream.write(out, head(id) + inserted + body(id));
            return true;
        };
    }

    @ParameterizedTest
    @CsvSource({"safe", "unsafe", "stream", "resumable"})
    void upstreamThatWritesResponsesTwiceGetsNewConnections(String route) throws Exception {
        try (TestUpstream upstream = new TestUpstream(script());
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", upstream, null);
            harness.add("b", "brain", upstream, EngineRole.DECODE);
            harness.start();
            int wrong = 0;
            int own = 0;
            for (int i = 0; i < REQUESTS; i++) {
                String id = route + "-" + i;
                Optional<String> received = successBody(harness, route, id);
                boolean ownBody = received.equals(Optional.of(body(id)));
                wrong += received.isPresent() && !ownBody ? 1 : 0;
                own += ownBody ? 1 : 0;
            }
            assertWithMessage("wrong bodies").that(wrong).isEqualTo(0);
            assertThat(own).isAtLeast(REQUESTS - MAX_FAILED);
        }
    }

    /** Returns the body of a complete response with status 200. */
    private static Optional<String> successBody(GatewayTestHarness harness, String route, String id)
            throws InterruptedException {
        try {
            HttpResponse<String> response = harness.send(harness.request(route, id, 2_000));
            return Optional.of(response.body()).filter(body -> response.statusCode() == 200);
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
