package org.wagtailcart.coordination;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Which membership change a leader makes by itself, so that a group formed from a few seeds grows to all its hosts and a
 * host that lost its disk or was replaced takes part again. Pure; one change at a time.
 */
final class MembershipPlanner {
    /** A voter that is silent for longer counts as lost, so that a successor may take its place. */
    static final long LOST_VOTER_MILLIS = 3_000;

    private MembershipPlanner() {}

    /** What a leader knows of a member. */
    interface Contacts {
        /** Returns whether a member answers and has stored all but the last entries. */
        boolean isCaughtUp(MemberKey member);

        /** Returns for how long a member was not heard. */
        long silentMillis(MemberKey member);
    }

    /**
     * Returns the next change, empty when the membership is as it should be.
     *
     * @param joiners members that asked lately to take part
     */
    static Optional<MemberChange> next(
            Members current, MemberKey leader, Collection<Member> joiners, Contacts contacts) {
        return Stream.of(
                        admitLearner(current, contacts),
                        addJoiner(current, leader, joiners, contacts),
                        removeLost(current, leader, contacts))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /** Promotes a learner that has caught up; an earlier incarnation of it leaves first. */
    private static Optional<MemberChange> admitLearner(Members current, Contacts contacts) {
        return current.members().stream()
                .filter(member -> !member.voter() && contacts.isCaughtUp(MemberKey.of(member)))
                .findFirst()
                .map(learner -> otherIncarnations(current, learner).stream()
                        .findFirst()
                        .map(old -> new MemberChange(MemberChange.Kind.REMOVE, old))
                        .orElseGet(() -> new MemberChange(MemberChange.Kind.PROMOTE, learner)));
    }

    private static Optional<MemberChange> addJoiner(
            Members current, MemberKey leader, Collection<Member> joiners, Contacts contacts) {
        Optional<Member> joiner = joiners.stream()
                .filter(member ->
                        MembersCodec.find(current, MemberKey.of(member)).isEmpty())
                .min(Comparator.comparing(Member::memberId));
        if (joiner.isPresent() && current.members().size() >= MembershipRules.MAX_MEMBERS) {
            return mostSilent(current, leader, contacts).map(lost -> new MemberChange(MemberChange.Kind.REMOVE, lost));
        }
        return joiner.map(member -> new MemberChange(MemberChange.Kind.ADD_LEARNER, member));
    }

    /** Removes a lost voter where the group survives more failures without it, and learners that never came back. */
    private static Optional<MemberChange> removeLost(Members current, MemberKey leader, Contacts contacts) {
        boolean evenVoters = MembersCodec.voters(current).size() % 2 == 0;
        return mostSilent(current, leader, contacts)
                .filter(lost -> !lost.voter() || evenVoters)
                .map(lost -> new MemberChange(MemberChange.Kind.REMOVE, lost));
    }

    private static Optional<Member> mostSilent(Members current, MemberKey leader, Contacts contacts) {
        return current.members().stream()
                .filter(member -> !MemberKey.of(member).equals(leader))
                .filter(member -> contacts.silentMillis(MemberKey.of(member)) >= LOST_VOTER_MILLIS)
                .max(Comparator.comparing((Member member) -> contacts.silentMillis(MemberKey.of(member)))
                        .thenComparing(Member::memberId));
    }

    private static List<Member> otherIncarnations(Members current, Member learner) {
        return current.members().stream()
                .filter(member -> member.memberId().equals(learner.memberId()))
                .filter(member -> member.incarnation() != learner.incarnation())
                .toList();
    }
}
