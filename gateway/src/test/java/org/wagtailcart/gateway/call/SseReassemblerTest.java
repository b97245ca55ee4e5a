package org.wagtailcart.gateway.call;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

class SseReassemblerTest {
    private static String events(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(i -> "id: " + i + "\ndata: piece " + i + "\n\n")
                .collect(Collectors.joining());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Whatever the parts in which a stream arrives, and wherever an upstream breaks off, each event passes once. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void everyEventPassesOnceOverSeveralUpstreams(long seed) {
        Random random = new Random(seed);
        SseReassembler splitter = new SseReassembler();
        ByteArrayOutputStream passed = new ByteArrayOutputStream();
        int total = 40;
        while (!splitter.lastEventId().equals(Integer.toString(total - 1))) {
            splitter.startContinuation();
            int next = splitter.lastEventId().isEmpty() ? 0 : Integer.parseInt(splitter.lastEventId()) + 1;
            byte[] rest = bytes(events(next, total));
            int breaksAt = random.nextInt(rest.length + 1);
            for (int at = 0; at < breaksAt; ) {
                int end = Math.min(breaksAt, at + 1 + random.nextInt(30));
                passed.writeBytes(splitter.accept(Arrays.copyOfRange(rest, at, end)));
                at = end;
            }
        }
        assertThat(passed.toString(StandardCharsets.UTF_8)).isEqualTo(events(0, total));
    }

    @Test
    void aMissingEventIsNoticed() {
        SseReassembler splitter = new SseReassembler();
        splitter.accept(bytes(events(0, 3)));
        WagtailcartException error =
                assertThrows(WagtailcartException.class, () -> splitter.accept(bytes(events(4, 5))));
        assertThat(error.code()).isEqualTo(ResultCode.STREAM_INCOMPLETE);
    }

    @Test
    void aRepeatedEventIsDropped() {
        SseReassembler splitter = new SseReassembler();
        splitter.accept(bytes(events(0, 3)));
        assertThat(new String(splitter.accept(bytes(events(1, 5))), StandardCharsets.UTF_8))
                .isEqualTo(events(3, 5));
    }

    @ParameterizedTest
    @ValueSource(strings = {"id: 0\r\ndata: x\r\n\r\n", "id: 0\ndata: x\n\n"})
    void bothLineEndsEndAnEvent(String event) {
        SseReassembler splitter = new SseReassembler();
        assertThat(new String(splitter.accept(bytes(event)), StandardCharsets.UTF_8))
                .isEqualTo(event);
        assertThat(splitter.hasPartialEvent()).isFalse();
    }
}
