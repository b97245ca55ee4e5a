package org.wagtailcart.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Queue of the heartbeat rounds of a leader, in which a quorum confirms that it still follows the leader. A round
 * covers every read requested before it started. Clocks of different hosts are never compared: a follower receives back a
 * timestamp of its own clock.
 */
final class HeartbeatRounds {
    /**
     * One heartbeat round.
     *
     * @param number sequence number, increases by one
     * @param startMillis monotonic time of the leader at the start
     * @param commitIndex commit index at the start
     * @param timestamps latest timestamp of each member at the start
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

    /** Returns whether reads are pending and no open round includes other reads. */
    boolean shouldStartForRead() {
        return !pendingReads.isEmpty()
                && openRounds.stream().allMatch(round -> round.reads().isEmpty());
    }

    void start(long nowMillis, long commitIndex, Map<MemberKey, RaftMessage.LocalTimestamp> timestamps) {
        latestNumber++;
        openRounds.add(new Round(latestNumber, nowMillis, commitIndex, timestamps, pendingReads));
        pendingReads = new ArrayList<>();
    }

    /** Removes the open rounds up to a number and returns them, oldest first. */
    List<Round> confirm(long confirmedNumber) {
        List<Round> confirmed = new ArrayList<>();
        while (!openRounds.isEmpty()
                && Objects.requireNonNull(openRounds.peek()).number() <= confirmedNumber) {
            confirmed.add(openRounds.remove());
        }
        return confirmed;
    }

    /** Returns the last of the given rounds, empty for none. */
    static Optional<Round> last(List<Round> rounds) {
        return rounds.isEmpty() ? Optional.empty() : Optional.of(rounds.get(rounds.size() - 1));
    }
}
