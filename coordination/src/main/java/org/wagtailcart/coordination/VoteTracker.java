package org.wagtailcart.coordination;

import java.util.HashSet;
import java.util.Set;

/** Tracker of the votes granted to a candidate in one election or pre-vote. */
final class VoteTracker {
    private final Set<MemberKey> granted = new HashSet<>();
    private boolean preVote;
    private boolean transfer;
    private long selfVoteWriteNumber;

    void start(boolean asPreVote, boolean forTransfer) {
        granted.clear();
        preVote = asPreVote;
        transfer = forTransfer;
        selfVoteWriteNumber = Long.MAX_VALUE;
    }

    boolean isPreVote() {
        return preVote;
    }

    boolean isTransfer() {
        return transfer;
    }

    void recordVote(MemberKey voter) {
        granted.add(voter);
    }

    /** Records the number of the write that makes the candidate's own vote durable; it does not count before. */
    void recordSelfVote(long writeNumber) {
        selfVoteWriteNumber = writeNumber;
    }

    boolean isSelfVoteDurable(long durableWriteNumber) {
        return durableWriteNumber >= selfVoteWriteNumber;
    }

    boolean isWon(Membership members) {
        long voters = Memberships.voters(members).size();
        long grants = granted.stream()
                .filter(key -> Memberships.isVoter(members, key))
                .count();
        return 2 * grants > voters;
    }
}
