package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.OutputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wagtailcart.common.EngineRole;

/** Guards against an upstream in trouble that sends bytes without end until the memory of the gateway is exhausted. */
class EndlessResponseTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n";
    /** Twice the limit on a buffered response, for the bytes in the buffers of the sockets. */
    private static final long MAX_SENT_BYTES = 8L << 20;

    private static final int CONCURRENT = 12;

    /** Place in a response from which the upstream repeats the same bytes. */
    private enum Endless {
        STATUS_LINE("stream", "HTTP/1.1 200 ", "o".repeat(4_000)),
        HEADER_LINE("safe", OK + "X-Long: ", "x".repeat(4_000)),
        HEADER_LINES("safe", OK, "X-Line: y\r\n".repeat(400)),
        INFORMATIONAL_RESPONSES("safe", "", "HTTP/1.1 100 Continue\r\n\r\n".repeat(100)),
        CHUNK_EXTENSION("safe", OK + "Transfer-Encoding: chunked\r\n\r\n4;", "e".repeat(4_000)),
        CHUNK_SIZE("unsafe", OK + "Transfer-Encoding: chunked\r\n\r\n", "0".repeat(4_000)),
        TRAILERS("unsafe", OK + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "T: t\r\n".repeat(600)),
        CHUNKED_BODY("unsafe", OK + "Transfer-Encoding: chunked\r\n\r\n", "fa0\r\n" + "b".repeat(4_000) + "\r\n"),
        BODY_WITHOUT_LENGTH("unsafe", OK + "\r\n", "b".repeat(4_000)),
        EVENT_WITHOUT_END("stream", OK + "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: ", "d".repeat(4_000)),
        FIRST_CHUNK_OF_STREAM("stream", OK + "Transfer-Encoding: chunked\r\n\r\n5;", "e".repeat(4_000));

        private final String route;
        private final String start;
        private final String repeated;

        Endless(String route, String start, String repeated) {
            this.route = route;
            this.start = start;
            this.repeated = repeated;
        }

        /** Returns a script that repeats the bytes until the connection fails, and counts them. */
        TestUpstream.Script script(AtomicLong sentBytes) {
            byte[] bytes = repeated.getBytes(StandardCharsets.US_ASCII);
            return (request, out, socket) -> {
                TestUpstream.write(out, String.format(start, request.header("Id")));
                while (true) {
                    writeCounted(out, bytes, sentBytes);
                }
            };
        }

        private static void writeCounted(OutputStream out, byte[] bytes, AtomicLong sentBytes) throws IOException {
            out.write(bytes);
            sentBytes.addAndGet(bytes.length);
        }
    }

    @ParameterizedTest
    @EnumSource
    void anEndlessResponseIsCutAndTheCallerGetsAnError(Endless endless) throws Exception {
        AtomicLong sentBytes = new AtomicLong();
        try (TestUpstream upstream = new TestUpstream(endless.script(sentBytes));
                TestUpstream sound = new TestUpstream(TestUpstream.ok("id: 0\ndata: sound\n\n"));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", endless.route.equals("stream") ? "brain" : "stock", upstream, role(endless));
            harness.add("b", endless.route.equals("stream") ? "stock" : "brain", sound, otherRole(endless));
            harness.start();
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < CONCURRENT; i++) {
                answers.add(harness.sendAsync(harness.request(endless.route, "r-" + i, 4_000)));
            }
            for (CompletableFuture<HttpResponse<String>> answer : answers) {
                assertThat(outcome(answer)).isNotEqualTo("200");
            }
            assertWithMessage("bytes accepted of " + endless)
                    .that(sentBytes.get())
                    .isAtMost(CONCURRENT * MAX_SENT_BYTES);
            String soundRoute = endless.route.equals("stream") ? "safe" : "stream";
            assertThat(outcome(harness.sendAsync(harness.request(soundRoute, "sound", 4_000))))
                    .isEqualTo("200");
        }
    }

    private static @Nullable EngineRole role(Endless endless) {
        return endless.route.equals("stream") ? EngineRole.DECODE : null;
    }

    private static @Nullable EngineRole otherRole(Endless endless) {
        return endless.route.equals("stream") ? null : EngineRole.DECODE;
    }

    /** Returns the status of a complete response, or "broken off". */
    private static String outcome(CompletableFuture<HttpResponse<String>> answer) throws Exception {
        try {
            return Integer.toString(answer.get(20, TimeUnit.SECONDS).statusCode());
        } catch (ExecutionException e) {
            return "broken off";
        }
    }
}
