package org.wagtailcart.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/** Replication progress of one other member, as tracked by the leader. */
final class Progress {
    /** How entries are sent to the member. */
    enum State {
        /** One request at a time, until an index is found at which the logs match. */
        PROBE,
        /** Requests are pipelined: the next ones are sent before the replies arrive. */
        REPLICATE,
        /** A snapshot is sent, because the member needs entries that are no longer in the log. */
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
