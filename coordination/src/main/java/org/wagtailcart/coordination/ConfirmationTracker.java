package org.wagtailcart.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/**
 * Tracker of the time at which a leader with a quorum last confirmed that this member was up to date, by this member's
 * own clock.
 */
final class ConfirmationTracker {
    /** Age reported before the first confirmation, longer than any lease. */
    private static final long UNCONFIRMED_AGE_MILLIS = 86_400_000;
    /** Limit on confirmations that wait for entries to be applied; further ones are dropped. */
    private static final int MAX_PENDING = 64;

    private record PendingConfirmation(long millis, long commitIndex) {}

    private final long runId;
    private final Deque<PendingConfirmation> pending = new ArrayDeque<>();
    private long confirmedAtMillis;
    private long latestMillis = Long.MIN_VALUE;

    /**
     * Creates a tracker without a confirmation.
     *
     * @param runId random id of the run of the process
     */
    ConfirmationTracker(long runId, long startMillis) {
        this.runId = runId;
        this.confirmedAtMillis = startMillis - UNCONFIRMED_AGE_MILLIS;
    }

    RaftMessage.LocalTimestamp timestamp(long nowMillis) {
        return new RaftMessage.LocalTimestamp(runId, nowMillis);
    }

    /** Records a confirmation from a leader; one with a timestamp of an earlier run is dropped. */
    void record(RaftMessage.Confirmation confirmation) {
        if (confirmation.timestamp().runId() == runId) {
            add(confirmation.timestamp().millis(), confirmation.commitIndex());
        }
    }

    /** Records a confirmed round that this member started as leader. */
    void record(HeartbeatRounds.Round round) {
        add(round.startMillis(), round.commitIndex());
    }

    void onApplied(long appliedIndex) {
        while (!pending.isEmpty() && Objects.requireNonNull(pending.peek()).commitIndex() <= appliedIndex) {
            confirmedAtMillis = pending.remove().millis();
        }
    }

    long confirmedAtMillis() {
        return confirmedAtMillis;
    }

    private void add(long millis, long commitIndex) {
        if (millis > latestMillis && pending.size() < MAX_PENDING) {
            latestMillis = millis;
            pending.add(new PendingConfirmation(millis, commitIndex));
        }
    }
}
