package org.wagtailcart.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Rounds of a leader in which a quorum confirms that it still follows. A round covers every request made before it
 * started. No clock of another host is compared: a follower gets back a stamp of its own clock.
 */
final class HeartbeatRounds {
    /**
     * One round.
     *
     * @param number grows by one
     * @param startMillis leader's clock
     * @param commitIndex committed index at the start
     * @param timestamps latest stamp of each member at the start
     * @param reads reads that this round confirms
     */
    record Round(
            long number,
            long startMillis,
            long commitIndex,
            Map<MemberKey, RaftMessage.LocalTimestamp> timestamps,
            List<Long> reads) {}

    private final Deque<Round> openRounds = new ArrayDeque<>();
    private List<Long> pendingReads = new ArrayList<>();
    private long latestNumber;

    /** Returns the number of the latest round. */
    long currentNumber() {
        return latestNumber;
    }

    void addRead(long readId) {
        pendingReads.add(readId);
    }

    /** Returns whether a read waits and no open round carries another one. */
    boolean shouldStartForRead() {
        return !pendingReads.isEmpty()
                && openRounds.stream().allMatch(round -> round.reads().isEmpty());
    }

    void start(long nowMillis, long commitIndex, Map<MemberKey, RaftMessage.LocalTimestamp> timestamps) {
        latestNumber++;
        openRounds.add(new Round(latestNumber, nowMillis, commitIndex, timestamps, pendingReads));
        pendingReads = new ArrayList<>();
    }

    /** Ends all rounds up to a number and returns them, oldest first. */
    List<Round> confirm(long confirmedNumber) {
        List<Round> confirmed = new ArrayList<>();
        while (!openRounds.isEmpty()
                && Objects.requireNonNull(openRounds.peek()).number() <= confirmedNumber) {
            confirmed.add(openRounds.remove());
        }
        return confirmed;
    }

    /** Returns the last of some rounds. */
    static Optional<Round> last(List<Round> rounds) {
        return rounds.isEmpty() ? Optional.empty() : Optional.of(rounds.get(rounds.size() - 1));
    }
}
