package org.wagtailcart.coordination;

import java.util.Optional;

/**
 * What a member knows of the log.
 *
 * @param self this member
 * @param role follower, candidate, leader or learner
 * @param term current term
 * @param leader the leader it knows, empty when unknown
 * @param commitIndex highest index known to be committed
 * @param appliedIndex highest index applied
 * @param snapshotIndex highest index covered by the snapshot
 * @param confirmedAtMillis monotonic time at which a leader with a quorum last confirmed that this member is up to date
 * @param membership membership in force
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
