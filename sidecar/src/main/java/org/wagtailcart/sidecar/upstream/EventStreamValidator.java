package org.wagtailcart.sidecar.upstream;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Checks the events of an engine's stream: they belong to the request, are without gaps, and end with the marker. */
final class EventStreamValidator {
    private static final String ID = "id:";
    private static final String DATA = "data:";
    private static final String END_MARKER = "[DONE]";

    private final String requestId;
    private long nextIndex = -1;
    private boolean endMarkerSeen;
    private boolean repeated;

    EventStreamValidator(String requestId) {
        this.requestId = requestId;
    }

    /** Returns whether the end marker was seen. */
    boolean endMarkerSeen() {
        return endMarkerSeen;
    }

    /**
     * Checks one event.
     *
     * @param event its lines, each with its line end, without the empty line that ends it
     * @return whether to pass it on; a repeated event is dropped
     * @throws WagtailcartException when the event is of another request, out of order or after the end
     */
    boolean accept(String event) {
        if (endMarkerSeen) {
            throw new WagtailcartException(ResultCode.ANSWER_MISMATCH, "event after the end marker");
        }
        repeated = false;
        event.lines().forEach(this::acceptLine);
        return !repeated;
    }

    private void acceptLine(String line) {
        if (line.startsWith(ID)) {
            acceptIndex(line.substring(ID.length()).trim());
        } else if (line.startsWith(DATA)) {
            acceptData(line.substring(DATA.length()).trim());
        }
    }

    private void acceptIndex(String text) {
        long index;
        try {
            index = Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new WagtailcartException(ResultCode.ANSWER_MISMATCH, "event id \"" + text + "\" is no number", e);
        }
        if (nextIndex >= 0 && index > nextIndex) {
            throw new WagtailcartException(
                    ResultCode.STREAM_INCOMPLETE, "event " + index + " came where " + nextIndex + " was due");
        }
        repeated = nextIndex >= 0 && index < nextIndex;
        nextIndex = Math.max(nextIndex, index + 1);
    }

    private void acceptData(String data) {
        if (data.equals(END_MARKER)) {
            endMarkerSeen = true;
        } else if (!data.contains(requestId)) {
            throw new WagtailcartException(
                    ResultCode.ANSWER_MISMATCH, "event without the request id " + requestId + " in its data");
        }
    }
}
