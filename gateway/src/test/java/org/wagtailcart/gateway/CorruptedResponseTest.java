package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a successful response to a caller that is incomplete or belongs to another request, when upstreams
 * send corrupted bytes.
 */
class CorruptedResponseTest {
    private static final int ROUNDS = 30;
    private static final Pattern ID = Pattern.compile("(?im)^id:([^\r\n]*)\r?$");
    private static final Pattern HEAD_END = Pattern.compile("\r?\n\r?\n");
    private static final Pattern STAMP = Pattern.compile("(?im)^stamp:[^\r\n]*\r?$");

    /**
     * Applies one random corruption to a response: a bit flip, a lost or extra byte, a repetition of the response or a
     * truncation, another status, or a body without a length.
     */
    private static byte[] corrupt(byte[] response, Random random) {
        int at = random.nextInt(response.length);
        byte[] rest = Arrays.copyOfRange(response, at, response.length);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(response, 0, at);
        switch (random.nextInt(7)) {
            case 0 -> {
                rest[0] ^= (byte) (1 << random.nextInt(8));
                out.writeBytes(rest);
            }
            case 1 -> out.writeBytes(Arrays.copyOfRange(rest, 1, rest.length));
            case 2 -> {
                out.write(random.nextInt(256));
                out.writeBytes(rest);
            }
            case 3 -> {
                out.writeBytes(rest);
                out.writeBytes(response);
            }
            case 4 -> {
                out.reset();
                String status = Integer.toString(random.nextInt(-99, 1_100));
                out.writeBytes(replace(response, "200", "0".repeat(random.nextInt(3)) + status));
            }
            case 5 -> {
                out.reset();
                out.writeBytes(replace(response, "Content-Length", "Content-Lengt"));
            }
            default -> {
                // Truncated at this position.
            }
        }
        return out.toByteArray();
    }

    private static byte[] replace(byte[] response, String part, String replacement) {
        return new String(response, StandardCharsets.ISO_8859_1)
                .replaceFirst(part, replacement)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] response(String id) {
        String body = "body of " + id;
        return ("HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns whether the corrupted bytes still contain the id of the request and the proof that it ran. */
    private static boolean mayBeRelayed(byte[] corrupted, String id) {
        String text = new String(corrupted, StandardCharsets.ISO_8859_1);
        // The HTTP client accepts line ends without a carriage return.
        Matcher end = HEAD_END.matcher(text);
        boolean headComplete = end.find();
        String head = headComplete ? text.substring(0, end.start() + 1) : text;
        Matcher idLine = ID.matcher(head);
        return headComplete
                && idLine.find()
                && idLine.group(1).strip().equals(id)
                && STAMP.matcher(head).find();
    }

    @ParameterizedTest
    @CsvSource({"unsafe, 1", "unsafe, 2", "safe, 3", "safe, 4"})
    void corruptedResponseIsNeverRelayedAsTheResponseToAnotherRequest(String route, long seed) throws Exception {
        Random random = new Random(seed);
        AtomicReference<byte[]> sent = new AtomicReference<>(new byte[0]);
        TestUpstream.Script script = (request, out, socket) -> {
            byte[] response = response(request.header("Id"));
            boolean corrupted = request.header("Id").startsWith("g-");
            byte[] bytes = corrupted ? corrupt(response, random) : response;
            if (corrupted) {
                sent.set(bytes);
            }
            out.write(bytes);
            out.flush();
            if (corrupted && random.nextInt(4) == 0) {
                socket.setSoLinger(true, 0);
                return false;
            }
            return !corrupted || random.nextBoolean();
        };
        try (TestUpstream upstream = new TestUpstream(script);
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", upstream, null);
            harness.start();
            for (int i = 0; i < ROUNDS; i++) {
                String corruptedId = "g-" + i;
                String corruptedResult = send(harness, route, corruptedId);
                assertWithMessage(new String(sent.get(), StandardCharsets.ISO_8859_1))
                        .that(corruptedResult)
                        .matches("(?s)([2-5][0-9]{2} .*|aborted)");
                if (corruptedResult.startsWith("200 ")) {
                    assertWithMessage(new String(sent.get(), StandardCharsets.ISO_8859_1))
                            .that(mayBeRelayed(sent.get(), corruptedId))
                            .isTrue();
                }
                String cleanId = "r-" + i;
                String cleanResult = send(harness, route, cleanId);
                if (cleanResult.startsWith("200 ")) {
                    assertThat(cleanResult).isEqualTo("200 body of " + cleanId);
                }
            }
        }
    }

    private static String send(GatewayTestHarness harness, String route, String id) throws InterruptedException {
        try {
            HttpResponse<String> response = harness.send(harness.request(route, id, 150));
            return response.statusCode() + " " + response.body();
        } catch (IOException e) {
            // The caller observes an incomplete response.
            TimeUnit.MILLISECONDS.sleep(1);
            return "aborted";
        }
    }
}
