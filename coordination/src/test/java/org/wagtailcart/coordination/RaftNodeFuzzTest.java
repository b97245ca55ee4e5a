package org.wagtailcart.coordination;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against violations of Raft safety and liveness under random faults in simulated groups. */
class RaftNodeFuzzTest {
    /** Returns 100 seeds; {@code mvn -Dfuzz.seeds=5000 ...} sets the number for a longer run. */
    static LongStream seeds() {
        return LongStream.range(0, Long.getLong("fuzz.seeds", 100));
    }

    /**
     * Guards against two leaders in a term, diverging logs, lost or changed committed entries, acknowledged proposals
     * out of order, stale confirmed reads, wrong confirmation times and a group that does not recover from faults.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void staysConsistentUnderFaultsAndRecovers(long seed) {
        SimulatedGroup group = new SimulatedGroup(seed, 1 + 2 * (int) (seed % 3), 2);
        group.run(4_000);
        group.faults = true;
        group.run(60_000);
        group.clearFaults();
        group.run(15_000);
        long acknowledged = group.checker.acknowledgedProposals;
        long reads = group.checker.confirmedReads;
        group.run(5_000);
        assertWithMessage("acknowledged proposals after the faults")
                .that(group.checker.acknowledgedProposals)
                .isGreaterThan(acknowledged);
        assertWithMessage("confirmed reads after the faults")
                .that(group.checker.confirmedReads)
                .isGreaterThan(reads);
        assertThat(group.checker.confirmations).isGreaterThan(0);
        assertMembersAgree(group);
    }

    private static void assertMembersAgree(SimulatedGroup group) {
        RaftStatus leader = group.leader().orElseThrow().status();
        List<SimulatedMember> members = group.hosts.values().stream()
                .filter(member -> Memberships.isVoter(leader.membership(), member.key))
                .toList();
        members.forEach(member -> assertWithMessage("lag of member %s", member.key)
                .that(leader.commitIndex() - member.status().appliedIndex())
                .isLessThan(100));
    }

    /** Guards against a member that forces an election when it is reconnected after a long isolation. */
    @Test
    void returningIsolatedMemberDoesNotDisturbTheTerm() {
        SimulatedGroup group = new SimulatedGroup(1, 3, 0);
        group.run(5_000);
        SimulatedMember leader = group.leader().orElseThrow();
        SimulatedMember follower = group.hosts.values().stream()
                .filter(member -> member != leader)
                .findFirst()
                .orElseThrow();
        long term = group.highestTerm();
        group.isolate(follower.key.memberId());
        group.run(600_000);
        group.reconnect(follower.key.memberId());
        group.run(10_000);
        assertThat(group.highestTerm()).isEqualTo(term);
        assertThat(leader.isLeader()).isTrue();
        assertMembersAgree(group);
    }
}
