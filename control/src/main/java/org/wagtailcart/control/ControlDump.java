package org.wagtailcart.control;

import java.util.Collection;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.RaftStatus;
import org.wagtailcart.fleet.UpstreamView;

/**
 * State of a control member for operators.
 *
 * @param member this member
 * @param role its role in the log
 * @param term current term
 * @param leader member id of the leader, empty when unknown
 * @param commitIndex highest committed index it knows
 * @param appliedIndex highest index it applied
 * @param snapshotIndex highest index its snapshot covers
 * @param confirmationAgeMillis time since a leader with a quorum confirmed it
 * @param members membership in force
 * @param revision settings revision in force
 * @param branchCount branches of the tree
 * @param retainedChangeCount changes in the history
 * @param fleetVersion fleet version in force
 * @param upstreams all upstreams
 */
public record ControlDump(
        Member member,
        RaftStatus.Role role,
        long term,
        String leader,
        long commitIndex,
        long appliedIndex,
        long snapshotIndex,
        long confirmationAgeMillis,
        Collection<Member> members,
        long revision,
        int branchCount,
        int retainedChangeCount,
        long fleetVersion,
        Collection<UpstreamView> upstreams) {
    static ControlDump of(RaftStatus status, PublishedState state, long confirmationAgeMillis) {
        return new ControlDump(
                status.self(),
                status.role(),
                status.term(),
                status.leader().map(Member::memberId).orElse(""),
                status.commitIndex(),
                status.appliedIndex(),
                status.snapshotIndex(),
                confirmationAgeMillis,
                status.membership().members(),
                state.settings().current().revision(),
                state.settings().current().branches().size(),
                state.settings().changes().size(),
                state.fleet().version(),
                state.fleet().upstreams().values());
    }
}
