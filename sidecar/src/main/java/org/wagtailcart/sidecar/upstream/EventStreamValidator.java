package org.wagtailcart.sidecar.upstream;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Validator for an engine's stream of server-sent events: all events must belong to the request, their ids must have no
 * gaps, and the last one must be the end marker.
 */
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

    /** Returns whether the end marker was received. */
    boolean endMarkerSeen() {
        return endMarkerSeen;
    }

    /**
     * Validates one event.
     *
     * @param event lines of the event with their line ends, without the empty line at its end
     * @return whether to forward the event; false for a repeated event
     * @throws WagtailcartException if the event belongs to another request, skips an id, or follows the end marker
     */
    boolean accept(String event) {
        if (endMarkerSeen) {
            throw new WagtailcartException(ResultCode.ANSWER_MISMATCH, "engine sent an event after the end marker");
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
            throw new WagtailcartException(ResultCode.ANSWER_MISMATCH, "event id \"" + text + "\" is not a number", e);
        }
        if (nextIndex >= 0 && index > nextIndex) {
            throw new WagtailcartException(
                    ResultCode.STREAM_INCOMPLETE,
                    "event " + index + " was received instead of " + nextIndex + " of the stream");
        }
        repeated = nextIndex >= 0 && index < nextIndex;
        nextIndex = Math.max(nextIndex, index + 1);
    }

    private void acceptData(String data) {
        if (data.equals(END_MARKER)) {
            endMarkerSeen = true;
        } else if (!data.contains(requestId)) {
            throw new WagtailcartException(
                    ResultCode.ANSWER_MISMATCH,
                    "data of the event does not contain the request id " + requestId + " of this stream");
        }
    }
}
