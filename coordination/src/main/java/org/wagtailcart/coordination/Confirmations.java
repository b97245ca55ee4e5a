package org.wagtailcart.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/** Time at which this member was last known to be up to date, by its own clock. */
final class Confirmations {
    /** Age reported before the first confirmation; longer than any lease. */
    private static final long NEVER_MILLIS = 86_400_000;
    /** Confirmations that wait for entries to be applied; later ones replace them. */
    private static final int MAX_WAITING = 64;

    private final long startMillis;
    private final Deque<RaftMessage.Confirmation> waiting = new ArrayDeque<>();
    private long confirmedAtMillis;
    private long latestStampMillis = Long.MIN_VALUE;

    Confirmations(long startMillis) {
        this.startMillis = startMillis;
        this.confirmedAtMillis = startMillis - NEVER_MILLIS;
    }

    /** Takes a confirmation; a stamp from before a restart is dropped because the clock may have started anew. */
    void receive(long nowMillis, RaftMessage.Confirmation confirmation) {
        long stamp = confirmation.stampMillis();
        if (stamp >= startMillis && stamp <= nowMillis && stamp > latestStampMillis && waiting.size() < MAX_WAITING) {
            latestStampMillis = stamp;
            waiting.add(confirmation);
        }
    }

    void applied(long appliedIndex) {
        while (!waiting.isEmpty() && Objects.requireNonNull(waiting.peek()).commitIndex() <= appliedIndex) {
            confirmedAtMillis = waiting.remove().stampMillis();
        }
    }

    long confirmedAtMillis() {
        return confirmedAtMillis;
    }
}
