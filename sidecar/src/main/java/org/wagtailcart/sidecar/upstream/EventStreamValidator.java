package org.wagtailcart.sidecar.upstream;

import java.util.regex.Pattern;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Validator for an engine's stream of server-sent events: all events must belong to the request, their ids must begin at
 * the requested index and have no gaps, and the last one must be the end marker.
 */
final class EventStreamValidator {
    private static final String ID = "id:";
    private static final String DATA = "data:";
    private static final String END_MARKER = "[DONE]";
    /** The only form that an entry accepts, without sign and leading zeros. */
    private static final Pattern INDEX = Pattern.compile("0|[1-9][0-9]{0,17}");

    private final String requestId;
    private long nextIndex;
    private boolean firstIndexSeen;
    private boolean endMarkerSeen;
    private boolean repeated;
    private boolean indexSeen;
    private boolean dataSeen;
    /** Number of events with data and without an id since the last one with an id. */
    private int eventsWithoutIndex;

    /**
     * Creates a validator.
     *
     * @param firstIndex id with which the stream must begin
     */
    EventStreamValidator(String requestId, long firstIndex) {
        this.requestId = requestId;
        this.nextIndex = firstIndex;
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
     * @throws WagtailcartException if the event belongs to another request, has more than one id, begins the stream
     *     with another id than the requested one, skips an id, follows an event without an id, or follows the end
     *     marker
     */
    boolean accept(String event) {
        if (endMarkerSeen) {
            throw new WagtailcartException(ResultCode.ANSWER_MISMATCH, "engine sent an event after the end marker");
        }
        repeated = false;
        indexSeen = false;
        dataSeen = false;
        event.lines().forEach(this::acceptLine);
        if (dataSeen && !indexSeen) {
            eventsWithoutIndex++;
        }
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
        if (!INDEX.matcher(text).matches()) {
            throw new WagtailcartException(ResultCode.ANSWER_MISMATCH, "event id \"" + text + "\" is not an index");
        }
        if (indexSeen) {
            throw new WagtailcartException(ResultCode.ANSWER_MISMATCH, "event has more than one id");
        }
        long index = Long.parseLong(text);
        checkEventsWithoutIndex(index);
        indexSeen = true;
        if (index > nextIndex || (!firstIndexSeen && index < nextIndex)) {
            throw new WagtailcartException(
                    ResultCode.STREAM_INCOMPLETE,
                    "event " + index + " was received instead of " + nextIndex + " of the stream");
        }
        firstIndexSeen = true;
        repeated = index < nextIndex;
        nextIndex = Math.max(nextIndex, index + 1);
    }

    /** Checks the events without an id before this one: only one at the beginning of the stream is no token. */
    private void checkEventsWithoutIndex(long index) {
        if (eventsWithoutIndex > (firstIndexSeen ? 0 : 1)) {
            throw new WagtailcartException(
                    ResultCode.STREAM_INCOMPLETE, "event without id was received before event " + index);
        }
        eventsWithoutIndex = 0;
    }

    private void acceptData(String data) {
        dataSeen = true;
        if (data.equals(END_MARKER)) {
            endMarkerSeen = true;
        } else if (!data.contains(requestId)) {
            throw new WagtailcartException(
                    ResultCode.ANSWER_MISMATCH,
                    "data of the event does not contain the request id " + requestId + " of this stream");
        }
    }
}
