package org.wagtailcart.policy.stream;

import java.util.OptionalLong;

/**
 * Decides by their ids which events of a stream reach its caller, across all upstreams that serve the response and after
 * the events that the caller has from earlier attempts. Ids are consecutive. Not thread safe.
 */
public final class EventSequence {
    /** The first event of a stream has this id or 0. */
    private static final long MAX_FIRST_ID = 1;

    /** What becomes of an event. */
    public enum Verdict {
        /** The event is the next one of the stream. */
        DELIVER,
        /** The caller has the event; it is dropped. */
        DUPLICATE,
        /** Events before it are missing. */
        GAP
    }

    private long lastId;

    private EventSequence(long lastId) {
        this.lastId = lastId;
    }

    /**
     * Returns the sequence of a response.
     *
     * @param lastIdOfCaller id of the last event that the caller has from earlier attempts, empty for a new stream
     */
    public static EventSequence after(OptionalLong lastIdOfCaller) {
        return new EventSequence(lastIdOfCaller.orElse(-1));
    }

    /** Returns the id of the last event that the caller has, empty before the first. */
    public OptionalLong lastId() {
        return lastId < 0 ? OptionalLong.empty() : OptionalLong.of(lastId);
    }

    /** Decides on an event. It counts as delivered if the verdict says so. */
    public Verdict accept(long id) {
        if (id <= lastId) {
            return Verdict.DUPLICATE;
        }
        long maxId = lastId < 0 ? MAX_FIRST_ID : lastId + 1;
        if (id > maxId) {
            return Verdict.GAP;
        }
        lastId = id;
        return Verdict.DELIVER;
    }
}
