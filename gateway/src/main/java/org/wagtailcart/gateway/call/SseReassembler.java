package org.wagtailcart.gateway.call;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.policy.stream.EventSequence;

/**
 * Parser that reassembles a server-sent event stream into complete events, of which it returns those that an
 * {@link EventSequence} delivers. Does no I/O; not thread safe.
 */
public final class SseReassembler {
    private static final String ID = "id:";
    private static final String ID_PATTERN = "[0-9]{1,18}";
    private static final String COMMENT = ":";
    private static final String RETRY = "retry:";
    /** Line end that callers accept and that {@link #endOfEvent} does not look for. */
    private static final Pattern BARE_CARRIAGE_RETURN = Pattern.compile("\\r(?!\\n)");
    /** Characters of a faulty event that an error message shows. */
    private static final int MAX_EXCERPT_CHARS = 40;

    /** Most bytes of one event; an upstream in trouble may send an event without end. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private byte[] partial = new byte[0];
    private final EventSequence sequence;
    private @Nullable WagtailcartException fault;
    private RunEvents run = RunEvents.NONE;

    /**
     * Events that one upstream has sent.
     *
     * @param firstId id of the first event, -1 without one
     * @param lastId id of the latest event, -1 without one
     * @param repeated number of events that were dropped as repetitions
     * @param unnumbered number of events without a readable id
     */
    record RunEvents(long firstId, long lastId, int repeated, int unnumbered) {
        static final RunEvents NONE = new RunEvents(-1, -1, 0, 0);

        RunEvents with(long id, boolean isRepetition) {
            return new RunEvents(firstId < 0 ? id : firstId, id, repeated + (isRepetition ? 1 : 0), unnumbered);
        }

        RunEvents withUnnumbered() {
            return new RunEvents(firstId, lastId, repeated, unnumbered + 1);
        }

        /** Returns whether the events are the ones after the given event, each once; -1 stands for the whole stream. */
        boolean isInOrderAfter(long afterId) {
            boolean firstFits = firstId < 0 || (afterId < 0 ? firstId <= 1 : firstId == afterId + 1);
            return firstFits && repeated == 0 && unnumbered == 0;
        }
    }

    /** Creates a reassembler whose events are delivered as the sequence decides. */
    public SseReassembler(EventSequence sequence) {
        this.sequence = sequence;
    }

    /** Returns the id of the last event that the caller has, empty before the first. */
    public String lastEventId() {
        return sequence.lastId().stream().mapToObj(Long::toString).findFirst().orElse("");
    }

    /** Discards a partial event, because the next bytes come from another upstream that resumes the stream. */
    public void startContinuation() {
        partial = new byte[0];
        fault = null;
        run = RunEvents.NONE;
    }

    /** Returns the events that the current upstream has sent. */
    RunEvents runEvents() {
        return run;
    }

    /** Returns whether the bytes received so far end within an event. */
    public boolean hasPartialEvent() {
        return partial.length > 0;
    }

    /**
     * Accepts bytes and returns the events that they complete, without repeated ones. A faulty event ends the run of its
     * upstream: {@link #throwFault()} then throws, and no further event of the run is returned.
     */
    public byte[] accept(byte[] bytes) {
        if (fault != null) {
            return new byte[0];
        }
        byte[] all = Arrays.copyOf(partial, partial.length + bytes.length);
        System.arraycopy(bytes, 0, all, partial.length, bytes.length);
        ByteArrayOutputStream events = new ByteArrayOutputStream(all.length);
        int start = 0;
        for (int end = endOfEvent(all, start); end > 0 && fault == null; end = endOfEvent(all, start)) {
            if (accept(new String(all, start, end - start, StandardCharsets.UTF_8))) {
                events.write(all, start, end - start);
            }
            start = end;
        }
        partial = Arrays.copyOfRange(all, start, all.length);
        if (fault == null && partial.length > MAX_EVENT_BYTES) {
            fault = new WagtailcartException(
                    ResultCode.RESPONSE_TOO_LARGE,
                    RunState.MAY_HAVE_RUN,
                    "event is larger than " + MAX_EVENT_BYTES + " bytes");
        }
        return events.toByteArray();
    }

    /**
     * Throws the fault that ended the run of the upstream, if there is one. The events before it must have been sent,
     * since the stream continues behind them.
     *
     * @throws WagtailcartException with {@link ResultCode#STREAM_INCOMPLETE} if an event is missing or has no readable id, with
     *     {@link ResultCode#RESPONSE_TOO_LARGE} if an event does not end within {@value #MAX_EVENT_BYTES} bytes
     */
    public void throwFault() {
        if (fault != null) {
            throw fault;
        }
    }

    /** Returns the position after the empty line that ends the event, 0 if the event is incomplete. */
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

    /** Checks an event; returns whether it is delivered. */
    private boolean accept(String event) {
        List<String> ids = event.lines()
                .filter(line -> line.startsWith(ID))
                .map(line -> line.substring(ID.length()).strip())
                .distinct()
                .toList();
        boolean readable = !BARE_CARRIAGE_RETURN.matcher(event).find();
        if (readable && ids.isEmpty() && event.lines().allMatch(SseReassembler::carriesNoEvent)) {
            return true;
        }
        if (!readable || ids.size() != 1 || !ids.get(0).matches(ID_PATTERN)) {
            run = run.withUnnumbered();
            fault = incomplete("an event has no readable id or several: \"" + excerpt(event) + "\"");
            return false;
        }
        return acceptId(Long.parseLong(ids.get(0)));
    }

    private static boolean carriesNoEvent(String line) {
        return line.isEmpty() || line.startsWith(COMMENT) || line.startsWith(RETRY);
    }

    private boolean acceptId(long id) {
        String lastEventId = lastEventId();
        EventSequence.Verdict verdict = sequence.accept(id);
        run = run.with(id, verdict == EventSequence.Verdict.DUPLICATE);
        if (verdict == EventSequence.Verdict.GAP) {
            fault = incomplete("events are missing: event " + id + " arrived after event \"" + lastEventId + "\"");
        }
        return verdict == EventSequence.Verdict.DELIVER;
    }

    private static String excerpt(String event) {
        return event.substring(0, Math.min(event.length(), MAX_EXCERPT_CHARS)).strip();
    }

    private static WagtailcartException incomplete(String reason) {
        return new WagtailcartException(ResultCode.STREAM_INCOMPLETE, RunState.MAY_HAVE_RUN, reason);
    }
}
