package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a success whose body contains bytes of another response, or of a second copy of the same one, where
 * neither the head nor the length of the response shows it.
 */
class ForeignBytesInBodyTest {
    private static final int REQUESTS = 6;

    /** Place of the foreign bytes. */
    private enum Place {
        /** The earlier response of the connection, between head and body. */
        BEFORE_BODY {
            @Override
            String write(String earlier, String id) {
                return head(id) + earlier + body(id);
            }
        },
        /** The same response once more, in the place of the last bytes of a body that was cut. */
        IN_CUT_BODY {
            @Override
            String write(String earlier, String id) {
                String whole = head(id) + body(id);
                return whole.substring(0, whole.length() - CUT_BYTES) + whole;
            }
        },
        /** The same response once more, behind a body that ends with its connection. */
        BEHIND_BODY_WITHOUT_LENGTH {
            @Override
            String write(String earlier, String id) {
                String whole = headWithoutLength(id) + body(id);
                return whole + whole;
            }

            @Override
            boolean keepsConnection() {
                return false;
            }
        };

        private static final int CUT_BYTES = 10;

        abstract String write(String earlier, String id);

        boolean keepsConnection() {
            return true;
        }
    }

    private static String body(String id) {
        return "answer to " + id;
    }

    private static String headWithoutLength(String id) {
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s\r\n\r\n";
    }

    private static String head(String id) {
        return headWithoutLength(id).replace("\r\n\r\n", "\r\nContent-Length: " + body(id).length() + "\r\n\r\n");
    }

    private static TestUpstream.Script script(Place place) {
        Map<Socket, String> earlier = new ConcurrentHashMap<>();
        return (request, out, socket) -> {
            String id = request.header("Id");
            String before = Optional.ofNullable(earlier.put(socket, head(id) + body(id)))
                    .orElse("");
            TestUpstream.write(out, place.write(before, id));
            return place.keepsConnection();
        };
    }

    @ParameterizedTest
    @CsvSource({"safe, BEFORE_BODY", "unsafe, BEFORE_BODY", "safe, IN_CUT_BODY", "unsafe, IN_CUT_BODY"})
    void bodyWithForeignBytesIsNoSuccess(String route, Place place) throws Exception {
        assertNoWrongBody(route, place);
    }

    @Tag("known-red")
    @ParameterizedTest
    @CsvSource({"safe, BEHIND_BODY_WITHOUT_LENGTH", "unsafe, BEHIND_BODY_WITHOUT_LENGTH"})
    void bodyWithForeignBytesIsNoSuccessKnownRed(String route, Place place) throws Exception {
        assertNoWrongBody(route, place);
    }

    private static void assertNoWrongBody(String route, Place place) throws Exception {
        try (TestUpstream upstream = new TestUpstream(script(place));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", upstream, null);
            harness.start();
            List<String> wrong = IntStream.range(0, REQUESTS)
                    .mapToObj(i -> route + "-" + i)
                    .filter(id -> successBody(harness, route, id).stream().anyMatch(body -> !body.equals(body(id))))
                    .toList();
            assertWithMessage("successes with a wrong body").that(wrong).isEmpty();
        }
    }

    /** Returns the body of a complete response with status 200. */
    private static Optional<String> successBody(GatewayTestHarness harness, String route, String id) {
        try {
            HttpResponse<String> response = harness.send(harness.request(route, id, 2_000));
            return Optional.of(response.body()).filter(body -> response.statusCode() == 200);
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
