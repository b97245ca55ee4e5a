package org.wagtailcart.coordination;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.Address;

class MembershipPlannerTest {
    private static Member member(String id, long incarnation, boolean voter) {
        return new Member(id, incarnation, new Address("10.0.0.1", 7000), voter);
    }

    private static List<Member> voters(String... ids) {
        return Stream.of(ids).map(id -> member(id, 1, true)).toList();
    }

    private static Optional<MembershipChange> nextChange(
            List<Member> current, List<Member> joiners, Set<MemberKey> lost) {
        return MembershipPlanner.nextChange(
                new Membership(1, current),
                MemberKey.of(current.get(0)),
                joiners,
                new MembershipPlanner.MemberHealth() {
                    @Override
                    public boolean isCaughtUp(MemberKey member) {
                        return !lost.contains(member);
                    }

                    @Override
                    public long millisSinceContact(MemberKey member) {
                        return lost.contains(member) ? 60_000 : 0;
                    }
                });
    }

    /** Applies changes until none is planned, as a leader would. */
    private static List<Member> applyUntilStable(List<Member> start, List<Member> joiners, Set<MemberKey> lost) {
        List<Member> current = new ArrayList<>(start);
        for (int step = 0; step < 50; step++) {
            Optional<MembershipChange> change = nextChange(current, joiners, lost);
            if (change.isEmpty()) {
                return current;
            }
            current = new ArrayList<>(MembershipRules.apply(
                    new Membership(1, current),
                    MemberKey.of(start.get(0)),
                    change.get(),
                    java.util.OptionalLong.of(0)));
        }
        throw new AssertionError("the membership does not settle");
    }

    @Test
    void aGroupOfThreeSeedsGrowsToAllFive() {
        List<Member> joiners = List.of(member("d", 1, false), member("e", 1, false));
        List<Member> settled = applyUntilStable(voters("a", "b", "c"), joiners, Set.of());
        assertThat(settled).containsExactlyElementsIn(voters("a", "b", "c", "d", "e"));
    }

    /** A host that lost its disk comes back as another incarnation; the old one must not stay a voter. */
    @Test
    void twoLostDisksAreReplacedByTheirNewIncarnations() {
        Set<MemberKey> lost = Set.of(new MemberKey("d", 1), new MemberKey("e", 1));
        List<Member> joiners = List.of(member("d", 2, false), member("e", 2, false));
        List<Member> settled = applyUntilStable(voters("a", "b", "c", "d", "e"), joiners, lost);
        assertThat(settled)
                .containsExactly(
                        member("a", 1, true),
                        member("b", 1, true),
                        member("c", 1, true),
                        member("d", 2, true),
                        member("e", 2, true));
    }

    @Test
    void aSuccessorAtAnotherAddressTakesThePlaceOfALostVoter() {
        Set<MemberKey> lost = Set.of(new MemberKey("e", 1));
        List<Member> settled = applyUntilStable(voters("a", "b", "c", "d", "e"), List.of(member("f", 1, false)), lost);
        assertThat(settled).containsExactlyElementsIn(voters("a", "b", "c", "d", "f"));
    }

    /** Without a successor, a voter that is dark for a while keeps its place in an odd group. */
    @Test
    void aLostVoterOfAnOddGroupStays() {
        assertThat(nextChange(voters("a", "b", "c", "d", "e"), List.of(), Set.of(new MemberKey("c", 1))))
                .isEmpty();
    }

    /** No step may leave a group whose reachable voters are no quorum. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void everyPlannedStepKeepsAQuorumOfReachableVoters(long seed) {
        Random random = new Random(seed);
        List<Member> current = new ArrayList<>(voters("a", "b", "c"));
        Set<MemberKey> lost = new HashSet<>();
        List<Member> joiners = new ArrayList<>();
        for (int step = 0; step < 400; step++) {
            injectFaults(random, current, lost, joiners, step);
            Optional<MembershipChange> change = nextChange(current, joiners, lost);
            if (change.isPresent()) {
                current = new ArrayList<>(MembershipRules.apply(
                        new Membership(step, current),
                        MemberKey.of(current.get(0)),
                        change.get(),
                        java.util.OptionalLong.of(0)));
            }
            assertThat(reachable(current, lost) * 2).isGreaterThan(voterCount(current));
            assertThat(current.size()).isAtMost(MembershipRules.MAX_MEMBERS);
            assertThat(current.stream()
                            .filter(Member::voter)
                            .map(Member::memberId)
                            .distinct()
                            .count())
                    .isEqualTo(voterCount(current));
        }
    }

    /** Loses a member only while the rest stays a quorum, as the tolerance of a deployment says. */
    private static void injectFaults(
            Random random, List<Member> current, Set<MemberKey> lost, List<Member> joiners, int step) {
        Member victim = current.get(random.nextInt(current.size()));
        boolean leader = victim.equals(current.get(0));
        boolean mayLose = victim.voter() && (reachable(current, lost) - 1) * 2 > voterCount(current);
        if (!leader && mayLose && random.nextInt(5) == 0) {
            lost.add(MemberKey.of(victim));
            joiners.add(member(victim.memberId(), 1_000 + step, false));
        }
        if (random.nextInt(8) == 0) {
            joiners.add(member("n" + random.nextInt(6), 1, false));
        }
        joiners.removeIf(joiner -> lost.contains(MemberKey.of(joiner)));
        IntStream.range(0, Math.max(0, joiners.size() - 8)).forEach(i -> joiners.remove(0));
    }

    private static long reachable(List<Member> current, Set<MemberKey> lost) {
        return current.stream()
                .filter(member -> member.voter() && !lost.contains(MemberKey.of(member)))
                .count();
    }

    private static long voterCount(List<Member> current) {
        return current.stream().filter(Member::voter).count();
    }
}
