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

/** Upstreams whose answers are damaged byte by byte: a caller gets a success only with a whole answer of its own. */
class CorruptedResponseTest {
    private static final int ROUNDS = 30;
    private static final Pattern ID = Pattern.compile("(?im)^id:([^\r\n]*)\r?$");
    private static final Pattern HEAD_END = Pattern.compile("\r?\n\r?\n");
    private static final Pattern STAMP = Pattern.compile("(?im)^stamp:[^\r\n]*\r?$");

    /** Changes one place of an answer in a way that the seed decides. */
    private static byte[] corrupt(byte[] answer, Random random) {
        int at = random.nextInt(answer.length);
        byte[] tail = Arrays.copyOfRange(answer, at, answer.length);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(answer, 0, at);
        switch (random.nextInt(5)) {
            case 0 -> {
                tail[0] ^= (byte) (1 << random.nextInt(8));
                out.writeBytes(tail);
            }
            case 1 -> out.writeBytes(Arrays.copyOfRange(tail, 1, tail.length));
            case 2 -> {
                out.write(random.nextInt(256));
                out.writeBytes(tail);
            }
            case 3 -> {
                out.writeBytes(tail);
                out.writeBytes(answer);
            }
            default -> {
                // The answer ends here.
            }
        }
        return out.toByteArray();
    }

    private static byte[] answer(String id) {
        String body = "body of " + id;
        return ("HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns whether the damaged bytes still say that the request ran and name it. */
    private static boolean mayBePassedOn(byte[] garbled, String id) {
        String text = new String(garbled, StandardCharsets.ISO_8859_1);
        // Lines may end without a carriage return.
        Matcher end = HEAD_END.matcher(text);
        boolean whole = end.find();
        String head = whole ? text.substring(0, end.start() + 1) : text;
        Matcher named = ID.matcher(head);
        return whole
                && named.find()
                && named.group(1).strip().equals(id)
                && STAMP.matcher(head).find();
    }

    @ParameterizedTest
    @CsvSource({"unsafe, 1", "unsafe, 2", "safe, 3", "safe, 4"})
    void aDamagedAnswerNeverLooksLikeAnother(String route, long seed) throws Exception {
        Random random = new Random(seed);
        AtomicReference<byte[]> sent = new AtomicReference<>(new byte[0]);
        TestUpstream.Script script = (request, out, socket) -> {
            byte[] answer = answer(request.header("Id"));
            boolean damaged = request.header("Id").startsWith("g-");
            byte[] bytes = damaged ? corrupt(answer, random) : answer;
            if (damaged) {
                sent.set(bytes);
            }
            out.write(bytes);
            out.flush();
            return !damaged || random.nextBoolean();
        };
        try (TestUpstream upstream = new TestUpstream(script);
                GatewayTestHarness rig = new GatewayTestHarness()) {
            rig.add("a", "stock", upstream, null);
            rig.start();
            for (int i = 0; i < ROUNDS; i++) {
                String damagedId = "g-" + i;
                String got = send(rig, route, damagedId);
                if (got.startsWith("200 ")) {
                    assertWithMessage(new String(sent.get(), StandardCharsets.ISO_8859_1))
                            .that(mayBePassedOn(sent.get(), damagedId))
                            .isTrue();
                }
                String cleanId = "r-" + i;
                String clean = send(rig, route, cleanId);
                if (clean.startsWith("200 ")) {
                    assertThat(clean).isEqualTo("200 body of " + cleanId);
                }
            }
        }
    }

    private static String send(GatewayTestHarness rig, String route, String id) throws InterruptedException {
        try {
            HttpResponse<String> response = rig.send(rig.request(route, id, 150));
            return response.statusCode() + " " + response.body();
        } catch (IOException e) {
            // Broken off visibly.
            TimeUnit.MILLISECONDS.sleep(1);
            return "broken off";
        }
    }
}
