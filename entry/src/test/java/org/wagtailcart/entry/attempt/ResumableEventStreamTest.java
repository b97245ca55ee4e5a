package org.wagtailcart.entry.attempt;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Guards against streams that are joined wrongly from several attempts, and against truncated streams taken as
 * complete.
 */
class ResumableEventStreamTest {
    private static final int TOKENS = 10;

    private static String event(String attempt, int index) {
        return "id: " + index + "\ndata: {\"id\":\"" + attempt + "\",\"text\":\"ü" + index + "\"}\n\n";
    }

    private static String finishEvent(String attempt) {
        return "data: {\"id\":\"" + attempt + "\",\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n";
    }

    /**
     * Returns the stream of an attempt: an event without a token, the tokens from an index, the finish event and
     * [DONE].
     */
    private static String remainingStream(String attempt, int from) {
        return ": comment\n\n".repeat(from == 0 ? 1 : 0) + "data: {\"id\":\"" + attempt
                + "\",\"role\":\"assistant\"}\n\n"
                + IntStream.range(from, TOKENS).mapToObj(i -> event(attempt, i)).collect(Collectors.joining())
                + finishEvent(attempt)
                + ResumableEventStream.DONE;
    }

    /**
     * Guards against lost or repeated tokens and corrupted characters, wherever the bytes are split and however often
     * the stream is interrupted and resumed.
     */
    @Property(tries = 500, seed = "77")
    void anySplitAndAnyNumberOfContinuationsGiveTheSameStream(@ForAll long seed) {
        Random random = new Random(seed);
        ResumableEventStream stream = new ResumableEventStream();
        StringBuilder delivered = new StringBuilder();
        int attempts = 1 + random.nextInt(4);
        for (int attempt = 1; attempt <= attempts; attempt++) {
            stream.startAttempt("attempt-" + attempt);
            byte[] bytes = remainingStream("attempt-" + attempt, (int) stream.deliveredTokens())
                    .getBytes(StandardCharsets.UTF_8);
            int end = attempt == attempts ? bytes.length : random.nextInt(bytes.length);
            for (int offset = 0; offset < end; ) {
                int next = Math.min(end, offset + 1 + random.nextInt(40));
                delivered.append(text(stream.accept(Arrays.copyOfRange(bytes, offset, next))));
                offset = next;
            }
        }
        delivered.append(text(stream.finish()));
        assertThat(delivered.toString().replace(": comment\n\n", ""))
                .isEqualTo(remainingStream("attempt-1", 0).replace(": comment\n\n", ""));
    }

    /** Guards against a truncated stream that is accepted as complete, at any byte before the end. */
    @Property(tries = 300, seed = "78")
    void truncatedStreamIsNotComplete(@ForAll long seed) {
        byte[] bytes = remainingStream("a", 0).getBytes(StandardCharsets.UTF_8);
        ResumableEventStream stream = new ResumableEventStream();
        stream.startAttempt("a");
        byte[] delivered = stream.accept(Arrays.copyOf(bytes, new Random(seed).nextInt(bytes.length)));
        assertThat(text(delivered)).doesNotContain("[DONE]");
        assertThrows(WagtailcartException.class, stream::finish);
    }

    private static Stream<Arguments> faultyEvents() {
        return Stream.of(
                Arguments.of(event("a", 5), ResultCode.STREAM_INCOMPLETE),
                Arguments.of(event("a", 2), ResultCode.STREAM_INCOMPLETE),
                Arguments.of(event("a", 3).replace("id: 3\n", ""), ResultCode.STREAM_INCOMPLETE),
                Arguments.of("event: error\ndata: {\"id\":\"a\"}\n\n", ResultCode.UPSTREAM_FAILED),
                Arguments.of(finishEvent("other"), ResultCode.ANSWER_MISMATCH),
                Arguments.of("data: finish_reason\n\n", ResultCode.STREAM_INCOMPLETE),
                Arguments.of(ResumableEventStream.DONE + event("a", 3), ResultCode.STREAM_INCOMPLETE),
                Arguments.of(finishEvent("a") + ResumableEventStream.DONE.repeat(2), ResultCode.STREAM_INCOMPLETE));
    }

    /**
     * Guards against events that are counted as delivered and lost because a later one in the same bytes is faulty, so
     * that the stream is resumed behind them.
     */
    @ParameterizedTest
    @MethodSource("faultyEvents")
    void eventsBeforeAFaultyOneAreDelivered(String faulty, ResultCode expected) {
        ResumableEventStream stream = new ResumableEventStream();
        stream.startAttempt("a");
        String sound = ": comment\n\ndata: {\"id\":\"a\"}\n\n" + event("a", 0) + event("a", 1) + event("a", 2);
        assertThat(text(stream.accept(bytes(sound + faulty + event("a", 3))))).isEqualTo(sound);
        assertThat(stream.deliveredTokens()).isEqualTo(3);
        assertThat(assertThrows(WagtailcartException.class, stream::throwFault).code())
                .isEqualTo(expected);
        assertThat(stream.accept(bytes(event("a", 3)))).isEmpty();
        assertThrows(WagtailcartException.class, stream::finish);

        stream.startAttempt("b");
        String rest = text(stream.accept(bytes(remainingStream("b", 3))));
        stream.throwFault();
        assertThat(sound + rest + text(stream.finish()))
                .isEqualTo(sound + remainingStream("a", 3).replaceFirst("data: .*\n\n", ""));
    }

    /** Returns attempts that a sidecar forwards when it does not check the first index of a response. */
    private static Stream<String> attemptsWithAnotherFirstIndex() {
        return Stream.of(
                remainingStream("b", 0),
                remainingStream("b", 2),
                remainingStream("b", 4),
                remainingStream("b", 9),
                remainingStream("b", 3).replace("id: 3\n", ""),
                remainingStream("b", 3).replace("id: 3\n", "id:\n"),
                remainingStream("b", 3).replace("id: 3\n", "id: x\n"),
                remainingStream("b", 3).replace("id: 3\n", "id: 3\nid: 9\n"),
                remainingStream("b", 3).replace("id: 3\n", "id: 3\nid: 3\n"),
                remainingStream("b", 3).replace("id: 3\n", "id: +3\n"),
                remainingStream("b", 3).replace("id: 3\n", "id: 03\n"),
                remainingStream("b", 3).replace("id: 3\n", "id: -1\n"),
                remainingStream("b", 3).replace("id: 3\n", "id: 99999999999999999999\n"));
    }

    private static Stream<String> attemptsWithAnotherIndexAtTheirEnd() {
        return Stream.of(
                "id: 9\n" + finishEvent("b"),
                "id: 2\n" + finishEvent("b"),
                "id: x\n" + finishEvent("b"),
                "id: 3\nid: 9\n" + finishEvent("b"),
                finishEvent("b") + event("b", 9),
                finishEvent("b") + event("b", 0),
                finishEvent("b") + event("b", 3) + event("b", 3),
                "id: 3\n" + finishEvent("b") + event("b", 5));
    }

    /** Guards against a resumed stream whose events do not directly follow the delivered ones. */
    @ParameterizedTest
    @MethodSource({"attemptsWithAnotherFirstIndex", "attemptsWithAnotherIndexAtTheirEnd"})
    void eventsThatDoNotFollowAreNeitherDeliveredNorComplete(String events) {
        ResumableEventStream stream = new ResumableEventStream();
        stream.startAttempt("a");
        stream.accept(bytes(event("a", 0) + event("a", 1) + event("a", 2)));
        stream.startAttempt("b");
        assertThat(text(stream.accept(bytes(events)))).doesNotContain("data:");
        assertThat(assertThrows(WagtailcartException.class, stream::throwFault).code())
                .isEqualTo(ResultCode.STREAM_INCOMPLETE);
        assertThat(stream.deliveredTokens()).isEqualTo(3);
    }

    /** Returns choices of an event, and whether they carry output. */
    private static Stream<Arguments> choices() {
        return Stream.of(
                Arguments.of("[{\"delta\":{\"content\":\"t\"}}]", true),
                Arguments.of("[{\"delta\":{\"role\":\"assistant\",\"content\":\"t\"}}]", true),
                Arguments.of("[{\"delta\":{}},{\"delta\":{\"tool_calls\":[{}]}}]", true),
                Arguments.of("[{\"text\":\"t\",\"finish_reason\":null}]", true),
                Arguments.of("[{\"text\":\"t\",\"finish_reason\":\"stop\"}]", true),
                Arguments.of("not JSON", true),
                Arguments.of("[]", false),
                Arguments.of("[{\"delta\":{\"role\":\"assistant\",\"content\":\"\",\"tool_calls\":[]}}]", false),
                Arguments.of("[{\"text\":\"\",\"finish_reason\":null}]", false),
                Arguments.of("[{\"delta\":{\"content\":null},\"finish_reason\":\"stop\"}]", false));
    }

    /**
     * Guards against output without an index at either end of an attempt, which may be repeated, missing or out of order
     * in the joined stream.
     */
    @ParameterizedTest
    @MethodSource("choices")
    void outputWithoutIndexIsNotAccepted(String choices, boolean output) {
        String withoutIndex = "data: {\"id\":\"a\",\"choices\":" + choices + "}\n\n";
        for (String events : List.of(
                withoutIndex + event("a", 0),
                event("a", 0) + finishEvent("a") + withoutIndex + ResumableEventStream.DONE)) {
            ResumableEventStream stream = new ResumableEventStream();
            stream.startAttempt("a");
            String delivered = text(stream.accept(bytes(events)));
            if (output) {
                assertThat(assertThrows(WagtailcartException.class, stream::throwFault)
                                .code())
                        .isEqualTo(ResultCode.STREAM_INCOMPLETE);
                assertThat(delivered).doesNotContain(withoutIndex);
            } else {
                stream.throwFault();
            }
        }
    }

    /** Guards against a sound end of a stream that is rejected: its events may have the next indexes or none. */
    @ParameterizedTest
    @ValueSource(strings = {"", "id: 1\n"})
    void finishEventMayHaveTheNextIndex(String index) {
        ResumableEventStream stream = new ResumableEventStream();
        stream.startAttempt("a");
        String usage = "data: {\"id\":\"a\",\"choices\":[],\"usage\":{}}\n\n";
        String events = event("a", 0) + index + finishEvent("a") + usage + ResumableEventStream.DONE;
        String delivered = text(stream.accept(bytes(events)));
        stream.throwFault();
        assertThat(delivered + text(stream.finish())).isEqualTo(events);
    }

    /** Guards against tokens without an index, which could be lost or repeated when the stream is resumed. */
    @Example
    void tokensWithoutIndexAreNotAccepted() {
        ResumableEventStream stream = new ResumableEventStream();
        stream.startAttempt("a");
        assertThat(text(stream.accept(bytes("data: {}\n\ndata: {}\n\n")))).isEqualTo("data: {}\n\n");
        assertThrows(WagtailcartException.class, stream::throwFault);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
