package org.wagtailcart.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against bytes behind a response that stay unseen, and against a whole response that seems to have some. */
class ResponseByteCounterTest {
    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 OK|A: b||', body, ''",
        "'HTTP/1.1 200 OK|A: b||', body, 'HTTP/1.1 200 OK|'",
        "'HTTP/1.1 204 No Content||', '', x",
        "'HTTP/1.1 100 Continue||HTTP/1.1 200 OK|A: b||', body, 'more'",
        "'HTTP/1.1 103 Early Hints|A: b||HTTP/1.1 500 X||', '', ''"
    })
    void bytesBehindTheBodyAreCounted(String head, String body, String behind) {
        IntStream.rangeClosed(1, 7).forEach(pieceBytes -> {
            assertThat(surplus("\r\n", head, body, behind, pieceBytes))
                    .isEqualTo(lines(behind, "\r\n").length());
            assertThat(surplus("\n", head, body, behind, pieceBytes))
                    .isEqualTo(lines(behind, "\n").length());
        });
    }

    /** Receives a response in pieces of the given size, after another one. */
    private static long surplus(String lineEnd, String head, String body, String behind, int pieceBytes) {
        ResponseByteCounter counter = new ResponseByteCounter();
        counter.received("HTTP/1.1 200 OK\r\n\r\nearlier".getBytes(StandardCharsets.US_ASCII), 0, 26);
        long request = counter.start();
        byte[] bytes = (lines(head, lineEnd) + body + lines(behind, lineEnd)).getBytes(StandardCharsets.US_ASCII);
        for (int offset = 0; offset < bytes.length; offset += pieceBytes) {
            counter.received(bytes, offset, Math.min(pieceBytes, bytes.length - offset));
        }
        return counter.surplusBytes(request, body.length());
    }

    private static String lines(String text, String lineEnd) {
        return text.replace("|", lineEnd);
    }
}
