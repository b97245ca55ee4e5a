package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.Range;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.testing.InvalidResponse;
import org.wagtailcart.testing.RawServer;

/**
 * Guards against a caller who gets a part of a response, or a response that is none, as a complete one; for plain calls,
 * prefills, streams and resumed streams.
 */
class IncompleteResponseTest {
    private static final int UPLOAD_BYTES = 1_500_000;
    private static final int UPLOADS = 40;
    private static final String EVENTS = "id: 0\ndata: piece 0\n\n";
    private static final String STREAM = "Content-Type: text/event-stream\r\n";

    private static String identification(String head) {
        return "Id: " + RawServer.field(head, "Id") + "\r\nStamp: s\r\n";
    }

    private static RawServer.Script invalid(InvalidResponse response, String fields) {
        return socket -> {
            String head = RawServer.readRequest(socket.getInputStream());
            RawServer.write(socket, response.text(identification(head) + fields), new Random(head.hashCode()));
        };
    }

    private static RawServer.Script complete(String fields, String body) {
        return socket -> {
            for (String head = RawServer.readRequest(socket.getInputStream());
                    !head.isEmpty();
                    head = RawServer.readRequest(socket.getInputStream())) {
                String text = "HTTP/1.1 200 OK\r\n" + identification(head) + fields + "Content-Length: " + body.length()
                        + "\r\n\r\n" + body;
                RawServer.write(socket, text, new Random(1));
            }
        };
    }

    private static HttpRequest upload(GatewayTestHarness harness, String route, String id) {
        HttpRequest small = harness.request(route, id, 4_000);
        return HttpRequest.newBuilder(small, (name, value) -> true)
                .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[UPLOAD_BYTES]))
                .build();
    }

    private static boolean mayHaveRun(HttpResponse<?> response) {
        return response.headers().firstValue("Wagtailcart-Run-State").orElse("").equals("may-have-run");
    }

    static Stream<Arguments> invalidResponses() {
        return Stream.of(InvalidResponse.values())
                .flatMap(response -> Stream.of("unsafe", "stream").map(route -> Arguments.of(response, route)));
    }

    @ParameterizedTest
    @MethodSource("invalidResponses")
    void anInvalidResponseIsAFailureThatMayHaveRun(InvalidResponse response, String route) throws Exception {
        String fields = route.equals("stream") ? STREAM : "";
        try (RawServer upstream = new RawServer(invalid(response, fields));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", upstream.address(), null);
            harness.add("b", "brain", upstream.address(), EngineRole.DECODE);
            harness.start();
            try {
                HttpResponse<String> answer = harness.send(harness.request(route, "r", 2_000));
                assertThat(answer.statusCode()).isEqualTo(502);
                assertThat(mayHaveRun(answer)).isTrue();
            } catch (IOException e) {
                // A response that has begun is aborted visibly.
                assertThat(route).isEqualTo("stream");
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void aSafeRequestIsServedByAnotherReplica(InvalidResponse response) throws Exception {
        AtomicInteger invalidAnswers = new AtomicInteger();
        RawServer.Script script = socket -> {
            invalidAnswers.incrementAndGet();
            invalid(response, "").serve(socket);
        };
        try (RawServer broken = new RawServer(script);
                RawServer whole = new RawServer(complete("", "whole"));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", broken.address(), null);
            harness.add("b", "stock", whole.address(), null);
            harness.start();
            for (int i = 0; i < 12; i++) {
                HttpResponse<String> answer = harness.send(harness.request("safe", "r-" + i, 4_000));
                assertThat(answer.statusCode() + " " + answer.body()).isEqualTo("200 whole");
            }
            assertWithMessage("invalid answers until the replica is ejected")
                    .that(invalidAnswers.get())
                    .isIn(Range.closed(1, 6));
        }
    }

    @ParameterizedTest
    @EnumSource
    void aPrefillWithAnInvalidResponseIsRunElsewhere(InvalidResponse response) throws Exception {
        RawServer.Script broken = socket -> {
            String head = RawServer.readRequest(socket.getInputStream());
            boolean prefill = !RawServer.field(head, "Only-Prompt").isEmpty();
            String text = prefill
                    ? response.text(identification(head))
                    : "HTTP/1.1 200 OK\r\n" + identification(head) + STREAM + "Content-Length: " + EVENTS.length()
                            + "\r\n\r\n" + EVENTS;
            RawServer.write(socket, text, new Random(1));
        };
        try (RawServer prefill = new RawServer(broken);
                RawServer decode = new RawServer(complete(STREAM, EVENTS));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", prefill.address(), EngineRole.PREFILL);
            harness.add("b", "brain", decode.address(), EngineRole.DECODE);
            harness.start();
            HttpResponse<String> answer = harness.send(harness.request("stream", "r", 4_000));
            assertThat(answer.statusCode() + " " + answer.body()).isEqualTo("200 " + EVENTS);
        }
    }

    @ParameterizedTest
    @EnumSource
    void aResumedStreamWithAnInvalidResponseIsAborted(InvalidResponse response) throws Exception {
        RawServer.Script first = socket -> {
            String head = RawServer.readRequest(socket.getInputStream());
            RawServer.write(
                    socket,
                    "HTTP/1.1 200 OK\r\n" + identification(head) + STREAM + "Content-Length: 500\r\n\r\n" + EVENTS,
                    new Random(1));
        };
        try (RawServer broken = new RawServer(first);
                RawServer next = new RawServer(invalid(response, STREAM));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", broken.address(), EngineRole.DECODE);
            harness.add("b", "brain", next.address(), EngineRole.DECODE);
            harness.start();
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < 2; i++) {
                    HttpResponse<String> answer = harness.send(harness.request("resumable", "r-" + i, 2_000));
                    assertThat(answer.statusCode()).isEqualTo(502);
                }
            });
        }
    }

    @ParameterizedTest
    @CsvSource({"unsafe, 1", "unsafe, 2", "stream, 3"})
    void aPartOfABodyIsNoResponseToAnUpload(String route, long seed) throws Exception {
        Random random = new Random(seed);
        String fields = route.equals("stream") ? STREAM : "";
        RawServer.Script script = socket -> {
            String head = RawServer.readHead(socket.getInputStream());
            RawServer.write(socket, "HTTP/1.1 200 OK\r\n" + identification(head) + fields + "\r\n" + EVENTS, random);
            socket.getInputStream().readNBytes(random.nextInt(400_000));
            RawServer.resetOnClose(socket);
        };
        try (RawServer upstream = new RawServer(script);
                GatewayTestHarness harness = new GatewayTestHarness()) {
            List<String> results = new ArrayList<>();
            for (int i = 0; i < UPLOADS; i++) {
                harness.add("a-" + i, "stock", upstream.address(), null);
                harness.add("b-" + i, "brain", upstream.address(), EngineRole.DECODE);
            }
            harness.start();
            for (int i = 0; i < UPLOADS; i++) {
                results.add(result(harness, upload(harness, route, "r-" + i)));
            }
            assertThat(results.stream().filter(result -> result.startsWith("200")))
                    .isEmpty();
        }
    }

    private static String result(GatewayTestHarness harness, HttpRequest request) throws InterruptedException {
        try {
            HttpResponse<String> response = harness.send(request);
            return response.statusCode() + " " + response.body();
        } catch (IOException e) {
            return "aborted";
        }
    }

    @ParameterizedTest
    @CsvSource({"413, reset", "413, close", "413, stop", "413, read", "401, reset", "401, read", "500, reset"})
    void aCompleteEarlyResponseReachesTheCaller(int status, String after) throws Exception {
        RawServer.Script script = socket -> {
            String head = RawServer.readHead(socket.getInputStream());
            RawServer.write(
                    socket,
                    "HTTP/1.1 " + status + " X\r\n" + identification(head) + "Content-Length: 7\r\n\r\nrefused",
                    new Random(1));
            switch (after) {
                case "reset" -> RawServer.resetOnClose(socket);
                case "stop" -> pauseSeconds(2);
                case "read" -> {
                    socket.getInputStream().skipNBytes(UPLOAD_BYTES);
                    RawServer.readHead(socket.getInputStream());
                }
                default -> socket.close();
            }
        };
        try (RawServer upstream = new RawServer(script);
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", upstream.address(), null);
            harness.start();
            for (int i = 0; i < 5; i++) {
                assertThat(result(harness, upload(harness, "unsafe", "r-" + i))).isEqualTo(status + " refused");
            }
            assertThat(upstream.connections()).isEqualTo(5);
        }
    }

    private static void pauseSeconds(int seconds) {
        try {
            TimeUnit.SECONDS.sleep(seconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
