package org.wagtailcart.coordination;

import java.util.HashSet;
import java.util.Set;

/** Votes that a candidate has collected in one election or pre-vote. */
final class Elections {
    private final Set<MemberKey> granted = new HashSet<>();
    private boolean preVote;
    private boolean transfer;
    private long selfVoteStore;

    void start(boolean asPreVote, boolean forTransfer) {
        granted.clear();
        preVote = asPreVote;
        transfer = forTransfer;
        selfVoteStore = Long.MAX_VALUE;
    }

    boolean isPreVote() {
        return preVote;
    }

    boolean isTransfer() {
        return transfer;
    }

    void grant(MemberKey voter) {
        granted.add(voter);
    }

    /** Notes the store that makes the own vote durable; before that it does not count. */
    void selfVoteIn(long storeNumber) {
        selfVoteStore = storeNumber;
    }

    boolean isSelfVoteDurable(long storedNumber) {
        return storedNumber >= selfVoteStore;
    }

    boolean isWon(Members members) {
        long voters = MembersCodec.voters(members).size();
        long grants = granted.stream()
                .filter(key -> MembersCodec.isVoter(members, key))
                .count();
        return 2 * grants > voters;
    }
}
