package org.wagtailcart.coordination;

import java.util.Optional;

/**
 * Status of a member.
 *
 * @param self this member
 * @param role role of this member
 * @param term current term
 * @param leader current leader, empty when unknown
 * @param commitIndex highest index known to be committed
 * @param appliedIndex highest index applied
 * @param snapshotIndex highest index covered by the latest snapshot
 * @param confirmedAtMillis latest monotonic time for which a leader with a quorum confirmed that this member is up to
 *     date
 * @param membership latest membership in the log
 */
public record RaftStatus(
        Member self,
        Role role,
        long term,
        Optional<Member> leader,
        long commitIndex,
        long appliedIndex,
        long snapshotIndex,
        long confirmedAtMillis,
        Membership membership) {
    /** Role of a member. */
    public enum Role {
        FOLLOWER,
        CANDIDATE,
        LEADER,
        LEARNER
    }
}
