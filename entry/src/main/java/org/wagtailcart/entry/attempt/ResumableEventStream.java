package org.wagtailcart.entry.attempt;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Validator that joins the server-sent events of all attempts of one request to one stream: token indices are
 * consecutive without repeats or gaps, and the stream is complete only with its finish event and {@code [DONE]}. Both
 * are held back until the attempt's end marker is validated. Performs no I/O.
 */
public final class ResumableEventStream {
    /** Last event of a complete stream. */
    public static final String DONE = "data: [DONE]\n\n";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final StringBuilder partialEvent = new StringBuilder();
    private final List<String> pendingFinalEvents = new ArrayList<>();
    private String firstAttemptId = "";
    private String attemptId = "";
    private long deliveredTokens;
    /** Number of events with an index among {@link #pendingFinalEvents}. */
    private long pendingTokens;

    private boolean preambleDelivered;
    private boolean firstEventSeen;
    private boolean finishReasonSeen;
    private boolean doneMarkerSeen;
    private byte[] undecodedBytes = new byte[0];
    private @Nullable WagtailcartException fault;

    /** Starts the events of an attempt, which continues after the tokens delivered so far. */
    public void startAttempt(String id) {
        firstAttemptId = firstAttemptId.isEmpty() ? id : firstAttemptId;
        attemptId = id;
        partialEvent.setLength(0);
        undecodedBytes = new byte[0];
        pendingFinalEvents.clear();
        pendingTokens = 0;
        firstEventSeen = false;
        finishReasonSeen = false;
        doneMarkerSeen = false;
        fault = null;
    }

    /** Returns the number of tokens delivered. */
    public long deliveredTokens() {
        return deliveredTokens;
    }

    /**
     * Accepts bytes of the body and returns the events to deliver. A faulty event ends the attempt: {@link #throwFault()}
     * then throws, and no further event of the attempt is returned.
     */
    public byte[] accept(byte[] bytes) {
        if (fault != null) {
            return new byte[0];
        }
        partialEvent.append(decode(bytes));
        StringBuilder deliver = new StringBuilder();
        try {
            for (int end = partialEvent.indexOf("\n\n"); end >= 0; end = partialEvent.indexOf("\n\n")) {
                String event = partialEvent.substring(0, end + 2);
                partialEvent.delete(0, end + 2);
                deliver.append(process(event));
            }
        } catch (WagtailcartException e) {
            fault = e;
        }
        return deliver.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Throws the fault that ended the attempt, if there is one. The events before it must have been delivered, since the
     * stream is resumed behind them.
     *
     * @throws WagtailcartException with {@link ResultCode#STREAM_INCOMPLETE} when a token is missing or repeated, with
     *     {@link ResultCode#ANSWER_MISMATCH} when an event belongs to another request, with
     *     {@link ResultCode#UPSTREAM_FAILED} when the engine reported an error
     */
    public void throwFault() {
        if (fault != null) {
            throw fault;
        }
    }

    /**
     * Accepts the end of the attempt and returns the finish event, the events after it and {@code [DONE]}.
     *
     * @throws WagtailcartException with {@link ResultCode#STREAM_INCOMPLETE} when the stream is incomplete, with the
     *     fault that ended the attempt when there is one
     */
    public byte[] finish() {
        throwFault();
        if (!finishReasonSeen || !doneMarkerSeen || partialEvent.length() > 0 || undecodedBytes.length > 0) {
            throw incomplete("stream ended after " + deliveredTokens + " tokens without its finish event and [DONE]");
        }
        return (String.join("", pendingFinalEvents) + DONE).getBytes(StandardCharsets.UTF_8);
    }

    private String process(String event) {
        if (doneMarkerSeen) {
            throw incomplete("event received after [DONE]");
        }
        if (field(event, "data").map("[DONE]"::equals).orElse(false)) {
            doneMarkerSeen = true;
            return "";
        }
        if (field(event, "event").map("error"::equals).orElse(false)) {
            throw new WagtailcartException(ResultCode.UPSTREAM_FAILED, "engine reported an error in the stream");
        }
        boolean finishEvent = isFinishEvent(event);
        if (field(event, "id").isEmpty()) {
            checkWithoutOutput(event);
        }
        if (!finishEvent && !finishReasonSeen && isPreamble(event)) {
            return preamble(event);
        }
        finishReasonSeen |= finishEvent;
        if (!finishReasonSeen) {
            checkIndex(event, deliveredTokens);
            firstEventSeen = true;
            deliveredTokens++;
        } else if (field(event, "id").isPresent()) {
            checkIndex(event, deliveredTokens + pendingTokens);
            pendingTokens++;
        }
        String rewritten = attemptId.equals(firstAttemptId) ? event : event.replace(attemptId, firstAttemptId);
        if (finishReasonSeen) {
            pendingFinalEvents.add(rewritten);
            return "";
        }
        return rewritten;
    }

    /**
     * Returns whether an event is a comment, or the one event without a token that may precede the first token of an
     * attempt.
     */
    private boolean isPreamble(String event) {
        return field(event, "id").isEmpty() && (field(event, "data").isEmpty() || !firstEventSeen);
    }

    /** Returns what to deliver for a preamble; the event without a token is not delivered again in a resumed stream. */
    private String preamble(String event) {
        if (field(event, "data").isEmpty()) {
            return event;
        }
        firstEventSeen = true;
        boolean first = !preambleDelivered && deliveredTokens == 0;
        preambleDelivered = true;
        return first ? event.replace(attemptId, firstAttemptId) : "";
    }

    private void checkIndex(String event, long expected) {
        String index = fields(event, "id").collect(Collectors.joining(" and "));
        if (!index.equals(Long.toString(expected))) {
            throw incomplete("token " + (index.isEmpty() ? "without index" : index) + " arrived where token " + expected
                    + " was expected");
        }
    }

    /** Rejects output without an index, which may be repeated, missing or out of order. */
    private void checkWithoutOutput(String event) {
        String data = field(event, "data").orElse("");
        if (!data.isEmpty() && parse(data).path("choices").valueStream().anyMatch(ResumableEventStream::hasOutput)) {
            throw incomplete("output without index arrived after " + deliveredTokens + " tokens");
        }
    }

    private static boolean hasOutput(JsonNode choice) {
        return !isEmpty(choice.path("text"))
                || choice.path("delta")
                        .propertyStream()
                        .anyMatch(field -> !field.getKey().equals("role") && !isEmpty(field.getValue()));
    }

    private static boolean isEmpty(JsonNode value) {
        return value.isMissingNode()
                || value.isNull()
                || (value.isTextual() && value.textValue().isEmpty())
                || (value.isContainerNode() && value.isEmpty());
    }

    private boolean isFinishEvent(String event) {
        String data = field(event, "data").orElse("");
        if (!data.contains("finish_reason")) {
            return false;
        }
        JsonNode node = parse(data);
        if (node.path("id").isTextual() && !node.path("id").textValue().contains(attemptId)) {
            throw new WagtailcartException(
                    ResultCode.ANSWER_MISMATCH,
                    "event of request " + node.path("id").textValue() + " arrived for attempt " + attemptId);
        }
        JsonNode reason = node.path("choices").path(0).path("finish_reason");
        return reason.isTextual() || node.path("finish_reason").isTextual();
    }

    private JsonNode parse(String data) {
        try {
            return MAPPER.readTree(data);
        } catch (JsonProcessingException e) {
            throw incomplete("data of an event is not JSON");
        }
    }

    private static Optional<String> field(String event, String name) {
        return fields(event, name).findFirst();
    }

    private static Stream<String> fields(String event, String name) {
        return event.lines().filter(line -> line.startsWith(name + ":")).map(line -> line.substring(name.length() + 1)
                .strip());
    }

    /** Decodes UTF-8 up to the last complete line, so that a character split across two chunks is not corrupted. */
    private String decode(byte[] bytes) {
        byte[] all = new byte[undecodedBytes.length + bytes.length];
        System.arraycopy(undecodedBytes, 0, all, 0, undecodedBytes.length);
        System.arraycopy(bytes, 0, all, undecodedBytes.length, bytes.length);
        int end = all.length;
        while (end > 0 && all[end - 1] != '\n') {
            end--;
        }
        undecodedBytes = Arrays.copyOfRange(all, end, all.length);
        return new String(all, 0, end, StandardCharsets.UTF_8).replace("\r\n", "\n");
    }

    private WagtailcartException incomplete(String text) {
        return new WagtailcartException(ResultCode.STREAM_INCOMPLETE, "attempt " + attemptId + ": " + text);
    }
}
