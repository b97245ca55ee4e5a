package org.wagtailcart.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/** Time at which this member was last known to be up to date, by its own clock. */
final class Confirmations {
    /** Age reported before the first confirmation; longer than any lease. */
    private static final long NEVER_MILLIS = 86_400_000;
    /** Confirmations that wait for entries to be applied; further ones are dropped. */
    private static final int MAX_WAITING = 64;

    private record Waiting(long millis, long commitIndex) {}

    private final long run;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private long confirmedAtMillis;
    private long latestMillis = Long.MIN_VALUE;

    /**
     * Creates the state of a run of the process.
     *
     * @param run random number of the run
     */
    Confirmations(long run, long startMillis) {
        this.run = run;
        this.confirmedAtMillis = startMillis - NEVER_MILLIS;
    }

    RaftMessage.Stamp stamp(long nowMillis) {
        return new RaftMessage.Stamp(run, nowMillis);
    }

    /** Takes a confirmation from a leader; a stamp of an earlier run is dropped. */
    void receive(RaftMessage.Confirmation confirmation) {
        if (confirmation.stamp().run() == run) {
            add(confirmation.stamp().millis(), confirmation.commitIndex());
        }
    }

    /** Takes a round that this member has started as leader. */
    void receive(ConfirmationRounds.Round round) {
        add(round.startMillis(), round.commitIndex());
    }

    void applied(long appliedIndex) {
        while (!waiting.isEmpty() && Objects.requireNonNull(waiting.peek()).commitIndex() <= appliedIndex) {
            confirmedAtMillis = waiting.remove().millis();
        }
    }

    long confirmedAtMillis() {
        return confirmedAtMillis;
    }

    private void add(long millis, long commitIndex) {
        if (millis > latestMillis && waiting.size() < MAX_WAITING) {
            latestMillis = millis;
            waiting.add(new Waiting(millis, commitIndex));
        }
    }
}
