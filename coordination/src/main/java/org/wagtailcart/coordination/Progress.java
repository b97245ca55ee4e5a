package org.wagtailcart.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/** What a leader knows of one other member. */
final class Progress {
    /** How entries are sent to the member. */
    enum State {
        /** One request at a time until the point where the logs match is found. */
        PROBE,
        /** Requests are sent ahead of their answers. */
        REPLICATE,
        /** The member needs entries that are no longer in the log. */
        SNAPSHOT
    }

    State state = State.PROBE;
    long matchIndex;
    long nextIndex;
    long contactMillis;
    long sentMillis = Long.MIN_VALUE;
    long ackedRound;
    RaftMessage.Confirmation confirmation = RaftMessage.Confirmation.NONE;
    RaftMessage.LocalTimestamp timestamp = RaftMessage.LocalTimestamp.NONE;
    boolean probeSent;
    long snapshotIndex;
    int snapshotOffset;
    private final Deque<Long> inFlight = new ArrayDeque<>();

    Progress(long nextIndex, long nowMillis) {
        this.nextIndex = nextIndex;
        this.contactMillis = nowMillis;
    }

    int inFlightCount() {
        return inFlight.size();
    }

    void recordSent(long lastIndex) {
        inFlight.add(lastIndex);
        nextIndex = lastIndex + 1;
    }

    void recordContact(long nowMillis, long round, RaftMessage.LocalTimestamp newTimestamp) {
        contactMillis = nowMillis;
        ackedRound = Math.max(ackedRound, round);
        if (newTimestamp.runId() != timestamp.runId() || newTimestamp.millis() > timestamp.millis()) {
            timestamp = newTimestamp;
        }
    }

    void recordMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        while (!inFlight.isEmpty() && Objects.requireNonNull(inFlight.peek()) <= matchIndex) {
            inFlight.remove();
        }
    }

    void transitionTo(State newState, long newNextIndex) {
        state = newState;
        nextIndex = newNextIndex;
        probeSent = false;
        inFlight.clear();
    }
}
