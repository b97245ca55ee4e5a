package org.wagtailcart.gateway.call;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;

/**
 * Cuts a stream of events after whole ones and checks that their ids follow each other, over all upstreams that take part
 * in one stream. Pure.
 */
public final class SseReassembler {
    private static final String ID = "id:";

    private byte[] partial = new byte[0];
    private long lastId = -1;

    /** Returns the id of the last whole event, empty before the first. */
    public String lastEventId() {
        return lastId < 0 ? "" : Long.toString(lastId);
    }

    /** Starts the bytes of another upstream that continues the stream. */
    public void startContinuation() {
        partial = new byte[0];
    }

    /** Returns whether the bytes so far end in the middle of an event. */
    public boolean hasPartialEvent() {
        return partial.length > 0;
    }

    /**
     * Takes bytes and returns the whole events that they complete.
     *
     * @throws WagtailcartException with {@link ResultCode#STREAM_INCOMPLETE} when an event is missing
     */
    public byte[] accept(byte[] bytes) {
        byte[] all = Arrays.copyOf(partial, partial.length + bytes.length);
        System.arraycopy(bytes, 0, all, partial.length, bytes.length);
        ByteArrayOutputStream whole = new ByteArrayOutputStream(all.length);
        int start = 0;
        for (int end = endOfEvent(all, start); end > 0; end = endOfEvent(all, start)) {
            if (acceptId(new String(all, start, end - start, StandardCharsets.UTF_8))) {
                whole.write(all, start, end - start);
            }
            start = end;
        }
        partial = Arrays.copyOfRange(all, start, all.length);
        return whole.toByteArray();
    }

    /** Returns the position after the empty line that ends the event, 0 when it is not there yet. */
    private static int endOfEvent(byte[] bytes, int start) {
        int lineStart = start;
        for (int i = start; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                boolean empty = i == lineStart || (i == lineStart + 1 && bytes[lineStart] == '\r');
                if (empty) {
                    return i + 1;
                }
                lineStart = i + 1;
            }
        }
        return 0;
    }

    /** Returns whether an event is passed on; a repeated one is not. */
    private boolean acceptId(String event) {
        long id = event.lines()
                .filter(line -> line.startsWith(ID))
                .map(line -> line.substring(ID.length()).strip())
                .filter(text -> text.matches("[0-9]{1,18}"))
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElse(-1);
        if (id < 0) {
            return true;
        }
        if (lastId >= 0 && id > lastId + 1) {
            throw new WagtailcartException(
                    ResultCode.STREAM_INCOMPLETE, RunState.MAY_HAVE_RUN, "event " + id + " follows event " + lastId);
        }
        boolean repeated = id <= lastId;
        lastId = Math.max(lastId, id);
        return !repeated;
    }
}
