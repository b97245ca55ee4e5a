package org.wagtailcart.control;

import java.util.Collection;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.RaftStatus;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.policy.placement.EngineRate;

/**
 * State of a control member as shown to operators.
 *
 * @param member this member
 * @param role Raft role of this member
 * @param term current term
 * @param leader member id of the leader, empty when unknown
 * @param commitIndex highest log index known to be committed
 * @param appliedIndex highest log index applied to the state machine
 * @param snapshotIndex highest log index covered by the latest snapshot
 * @param confirmationAgeMillis time since a leader with a quorum last confirmed this member
 * @param members membership in force
 * @param revision settings revision in force
 * @param branchCount number of branches in the settings tree
 * @param retainedChangeCount number of changes kept in the settings history
 * @param fleetVersion fleet version in force
 * @param upstreams all upstreams
 * @param engineRates prefill rates of engines that gateways have reported to this member
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
        Collection<UpstreamView> upstreams,
        Collection<EngineRate> engineRates) {
    static ControlDump of(
            RaftStatus status, PublishedState state, long confirmationAgeMillis, Collection<EngineRate> engineRates) {
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
                state.fleet().upstreams().values(),
                engineRates);
    }
}
