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
final class ConfirmationRounds {
    /**
     * One round.
     *
     * @param number grows by one
     * @param startMillis leader's clock
     * @param commitIndex committed index at the start
     * @param stamps latest stamp of each member at the start
     * @param reads reads that this round confirms
     */
    record Round(
            long number,
            long startMillis,
            long commitIndex,
            Map<MemberKey, RaftMessage.Stamp> stamps,
            List<Long> reads) {}

    private final Deque<Round> open = new ArrayDeque<>();
    private List<Long> waitingReads = new ArrayList<>();
    private long number;

    /** Returns the number of the latest round. */
    long current() {
        return number;
    }

    void addRead(long readId) {
        waitingReads.add(readId);
    }

    /** Returns whether a read waits and no open round carries another one. */
    boolean shouldStartForRead() {
        return !waitingReads.isEmpty()
                && open.stream().allMatch(round -> round.reads().isEmpty());
    }

    void start(long nowMillis, long commitIndex, Map<MemberKey, RaftMessage.Stamp> stamps) {
        number++;
        open.add(new Round(number, nowMillis, commitIndex, stamps, waitingReads));
        waitingReads = new ArrayList<>();
    }

    /** Ends all rounds up to a number and returns them, oldest first. */
    List<Round> confirm(long confirmedNumber) {
        List<Round> confirmed = new ArrayList<>();
        while (!open.isEmpty() && Objects.requireNonNull(open.peek()).number() <= confirmedNumber) {
            confirmed.add(open.remove());
        }
        return confirmed;
    }

    /** Returns the last of some rounds. */
    static Optional<Round> last(List<Round> rounds) {
        return rounds.isEmpty() ? Optional.empty() : Optional.of(rounds.get(rounds.size() - 1));
    }
}
