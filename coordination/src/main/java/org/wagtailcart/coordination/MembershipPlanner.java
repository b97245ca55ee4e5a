package org.wagtailcart.coordination;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Plans the automatic membership changes of a leader, one at a time, so that a group bootstrapped from a few seeds
 * grows to all its hosts and a host that was replaced or lost its disk becomes a voter again. Stateless.
 */
final class MembershipPlanner {
    /** Time without contact after which a member counts as unreachable, so that another may take its place. */
    static final long VOTER_UNREACHABLE_MILLIS = 3_000;

    private MembershipPlanner() {}

    /** Health of the members as the leader observes it. */
    interface MemberHealth {
        /** Returns whether a member is in contact and lags by few enough entries to be promoted. */
        boolean isCaughtUp(MemberKey member);

        /** Returns the time since the last contact with a member. */
        long millisSinceContact(MemberKey member);
    }

    /**
     * Returns the next change; empty when no change is needed or possible.
     *
     * @param joiners members that recently requested to join
     * @param toleratedLosses members that may lose their disks at the same time
     */
    static Optional<MembershipChange> nextChange(
            Membership current,
            MemberKey leader,
            Collection<Member> joiners,
            MemberHealth health,
            int toleratedLosses) {
        return Stream.of(
                        promoteLearner(current, health),
                        addJoiner(current, leader, joiners, health),
                        removeUnreachable(current, leader, health, toleratedLosses))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /** Promotes a learner that has caught up, after removing other incarnations of it. */
    private static Optional<MembershipChange> promoteLearner(Membership current, MemberHealth health) {
        return current.members().stream()
                .filter(member -> !member.voter() && health.isCaughtUp(MemberKey.of(member)))
                .findFirst()
                .map(learner -> otherIncarnations(current, learner).stream()
                        .findFirst()
                        .map(old -> new MembershipChange(MembershipChange.Kind.REMOVE, old))
                        .orElseGet(() -> new MembershipChange(MembershipChange.Kind.PROMOTE, learner)));
    }

    private static Optional<MembershipChange> addJoiner(
            Membership current, MemberKey leader, Collection<Member> joiners, MemberHealth health) {
        Optional<Member> joiner = joiners.stream()
                .filter(member ->
                        Memberships.find(current, MemberKey.of(member)).isEmpty())
                .min(Comparator.comparing(Member::memberId));
        if (joiner.isPresent() && current.members().size() >= MembershipRules.MAX_MEMBERS) {
            return longestUnreachable(current, leader, health)
                    .map(unreachable -> new MembershipChange(MembershipChange.Kind.REMOVE, unreachable));
        }
        return joiner.map(member -> new MembershipChange(MembershipChange.Kind.ADD_LEARNER, member));
    }

    /** Removes an unreachable learner, or an unreachable voter where the group tolerates more failures without it. */
    private static Optional<MembershipChange> removeUnreachable(
            Membership current, MemberKey leader, MemberHealth health, int toleratedLosses) {
        boolean voterRemovable = toleratesMoreWithoutUnreachable(current, leader, health, toleratedLosses);
        return longestUnreachable(current, leader, health)
                .filter(unreachable -> !unreachable.voter() || voterRemovable)
                .map(unreachable -> new MembershipChange(MembershipChange.Kind.REMOVE, unreachable));
    }

    /**
     * Returns whether the group tolerates more failures without its unreachable voters. A group with an even number of
     * voters does as soon as one is removed, a group with an odd number once two are. The latter is done only while the
     * reachable voters suffice on their own, as after successors have joined: a quorum of fewer voters would store an
     * entry on no more disks than may be lost.
     */
    private static boolean toleratesMoreWithoutUnreachable(
            Membership current, MemberKey leader, MemberHealth health, int toleratedLosses) {
        int voters = Memberships.voters(current).size();
        long unreachableVoters =
                unreachable(current, leader, health).filter(Member::voter).count();
        boolean reachableSuffice = voters - unreachableVoters >= 2L * toleratedLosses + 1;
        return voters % 2 == 0 || (unreachableVoters >= 2 && reachableSuffice);
    }

    private static Optional<Member> longestUnreachable(Membership current, MemberKey leader, MemberHealth health) {
        return unreachable(current, leader, health)
                .max(Comparator.comparing((Member member) -> health.millisSinceContact(MemberKey.of(member)))
                        .thenComparing(Member::memberId));
    }

    private static Stream<Member> unreachable(Membership current, MemberKey leader, MemberHealth health) {
        return current.members().stream()
                .filter(member -> !MemberKey.of(member).equals(leader))
                .filter(member -> health.millisSinceContact(MemberKey.of(member)) >= VOTER_UNREACHABLE_MILLIS);
    }

    private static List<Member> otherIncarnations(Membership current, Member learner) {
        return current.members().stream()
                .filter(member -> member.memberId().equals(learner.memberId()))
                .filter(member -> member.incarnation() != learner.incarnation())
                .toList();
    }
}
