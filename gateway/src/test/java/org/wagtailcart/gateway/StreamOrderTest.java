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
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.control.client.RecordedOrigin;

/** Guards against events that reach a caller out of order, more than once or not at all while its response goes on. */
class StreamOrderTest {
    private static final int EVENTS = 12;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nId: {id}\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n";

    private static String events(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(i -> "id: " + i + "\ndata: piece " + i + "\n\n")
                .collect(Collectors.joining());
    }

    /** Returns a script that writes a body at once and ends it with the connection. */
    private static TestUpstream.Script faulty(String body) {
        return (request, out, socket) -> {
            TestUpstream.write(out, (HEAD + body).replace("{id}", request.header("Id")));
            return false;
        };
    }

    /** Returns the script of an engine that begins after the requested event, as all should. */
    private static TestUpstream.Script sound() {
        return (request, out, socket) -> {
            String after = request.header("After");
            int from = after.isEmpty() ? 0 : Integer.parseInt(after) + 1;
            TestUpstream.write(out, (HEAD + events(from, EVENTS)).replace("{id}", request.header("Id")));
            return false;
        };
    }

    private static Stream<Arguments> eventsLostBeforeAFault() {
        return Stream.of(
                Arguments.of("", events(0, 3) + events(4, EVENTS)),
                Arguments.of("", events(0, 1) + events(9, 10)),
                Arguments.of("4", events(5, 8) + events(10, EVENTS)));
    }

    private static Stream<Arguments> anotherFirstEvent() {
        return Stream.of(
                Arguments.of("5", events(0, EVENTS)),
                Arguments.of("5", events(3, EVENTS)),
                Arguments.of("5", events(5, EVENTS)),
                Arguments.of("5", events(7, EVENTS)),
                Arguments.of("5", events(11, EVENTS)),
                Arguments.of("", events(2, EVENTS)),
                Arguments.of("", events(11, EVENTS)));
    }

    private static Stream<Arguments> withoutNumber() {
        return Stream.of(
                Arguments.of("", events(0, 3) + "data: piece 3\n\n" + events(4, EVENTS)),
                Arguments.of("", events(0, 3) + "id: x\ndata: piece 3\n\n"),
                Arguments.of("", events(0, 3) + "id: -1\ndata: piece 3\n\n"),
                Arguments.of("", events(0, 3) + "id: 99999999999999999999\ndata: piece 3\n\n"),
                Arguments.of("", events(0, 3) + "id: 3\nid: 9\ndata: piece 3\n\n"),
                Arguments.of("", events(0, EVENTS) + HEAD + events(0, EVENTS)),
                Arguments.of("5", "data: piece 6\n\n" + events(7, EVENTS)),
                Arguments.of("5", HEAD + events(6, EVENTS)));
    }

    /** Guards against events that are lost because an event behind them in the same read is faulty. */
    @ParameterizedTest
    @MethodSource("eventsLostBeforeAFault")
    void eventsBeforeAMissingOneAreDelivered(String after, String body) throws Exception {
        assertWholeStream(after, body);
    }

    /** Guards against a response that begins with another event than the one after those that its caller has. */
    @ParameterizedTest
    @MethodSource("anotherFirstEvent")
    void responseBeginsWithTheNextEvent(String after, String body) throws Exception {
        assertWholeStream(after, body);
    }

    /** Guards against events without a number, and bytes of another response, within a stream. */
    @ParameterizedTest
    @MethodSource("withoutNumber")
    void eventWithoutNumberIsNotDelivered(String after, String body) throws Exception {
        assertWholeStream(after, body);
    }

    /** Guards against a malformed position that is taken for the beginning of the stream, or for any other event. */
    @ParameterizedTest
    @CsvSource({
        "resumable, -1",
        "resumable, x",
        "resumable, '5,6'",
        "resumable, 1.5",
        "resumable, 99999999999999999999",
        "stream, 5",
        "stream, x"
    })
    void malformedPositionIsRefused(String route, String after) throws Exception {
        try (TestUpstream sound = new TestUpstream(sound());
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("b", "brain", sound, EngineRole.DECODE);
            harness.start();
            HttpResponse<String> response = harness.send(request(harness, route, after));
            assertThat(response.statusCode()).isEqualTo(400);
            assertThat(response.body()).contains("Last-Event-Id");
            assertThat(sound.received()).isEmpty();
        }
    }

    /** Asserts that a caller gets each event once, with a faulty engine that is tried first and a sound one. */
    private static void assertWholeStream(String after, String faultyBody) throws Exception {
        int from = after.isEmpty() ? 0 : Integer.parseInt(after) + 1;
        try (TestUpstream faulty = new TestUpstream(faulty(faultyBody));
                TestUpstream sound = new TestUpstream(sound());
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", faulty, EngineRole.DECODE);
            harness.add("b", "brain", sound, EngineRole.DECODE);
            harness.start();
            harness.originMember().recordFromOtherGateway(new RecordedOrigin("r-0", "brain", "v1", 5_000));
            HttpResponse<String> response = harness.send(request(harness, "resumable", after));
            assertThat(faulty.received()).hasSize(1);
            assertThat(response.body()).isEqualTo(events(from, EVENTS));
        }
    }

    private static Stream<String> faultyBodies() {
        return Stream.of(eventsLostBeforeAFault(), anotherFirstEvent(), withoutNumber())
                .flatMap(cases -> cases)
                .filter(arguments -> arguments.get()[0].equals(""))
                .map(arguments -> (String) arguments.get()[1]);
    }

    /** Guards against a stream that no other engine may continue, and that looks complete although it is faulty. */
    @ParameterizedTest
    @MethodSource("faultyBodies")
    void faultyStreamLooksIncomplete(String body) throws Exception {
        try (TestUpstream faulty = new TestUpstream(faulty(body));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", faulty, EngineRole.DECODE);
            harness.start();
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            assertThrows(IOException.class, () -> copyBody(request(harness, "stream", ""), received));
            assertThat(events(0, EVENTS)).startsWith(received.toString(StandardCharsets.UTF_8));
        }
    }

    private static void copyBody(HttpRequest request, ByteArrayOutputStream to)
            throws IOException, InterruptedException {
        HttpResponse<InputStream> response =
                HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofInputStream());
        if (response.statusCode() != 200) {
            throw new IOException("status " + response.statusCode());
        }
        try (InputStream body = response.body()) {
            body.transferTo(to);
        }
    }

    private static HttpRequest request(GatewayTestHarness harness, String route, String after) {
        HttpRequest request = harness.request(route, "r-1", 4_000);
        return after.isEmpty()
                ? request
                : HttpRequest.newBuilder(request, (name, value) -> true)
                        .header("After", after)
                        .header("Resumes", "r-0")
                        .build();
    }
}
