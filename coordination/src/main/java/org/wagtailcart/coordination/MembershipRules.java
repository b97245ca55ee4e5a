package org.wagtailcart.coordination;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Validates and applies membership changes. */
final class MembershipRules {
    /** Limit on voters and learners; the design allows at most this many hosts for control. */
    static final int MAX_MEMBERS = 9;
    /** Limit on the lag of a learner at promotion; below it, a quorum with the learner is not noticeably slower. */
    static final long MAX_PROMOTION_LAG_ENTRIES = 100;

    private MembershipRules() {}

    /**
     * Returns the members after a change.
     *
     * @param lag entries by which the member of the change lags, empty when the leader has no contact with it
     * @throws WagtailcartException with {@link ResultCode#MEMBERSHIP_CHANGE_INVALID}
     */
    static List<Member> apply(Membership current, MemberKey leader, MembershipChange change, OptionalLong lag) {
        MemberKey key = MemberKey.of(change.member());
        return switch (change.kind()) {
            case ADD_LEARNER -> add(current, change.member());
            case PROMOTE -> promote(current, key, lag);
            case REMOVE -> remove(current, leader, key);
        };
    }

    /** Returns whether a change is already in effect, as when it is retried after a lost response. */
    static boolean hasNoEffect(Membership current, MembershipChange change) {
        var found = Memberships.find(current, MemberKey.of(change.member()));
        return switch (change.kind()) {
            case ADD_LEARNER -> found.isPresent();
            case PROMOTE -> found.map(Member::voter).orElse(false);
            case REMOVE -> found.isEmpty();
        };
    }

    private static List<Member> add(Membership current, Member member) {
        if (current.members().size() >= MAX_MEMBERS) {
            throw invalid("the group already has " + MAX_MEMBERS + " members");
        }
        if (member.incarnation() <= 0) {
            throw invalid("incarnation " + member.incarnation() + " of member \"" + member.memberId()
                    + "\" is not positive; the member logs its incarnation at startup");
        }
        Member learner = new Member(member.memberId(), member.incarnation(), member.address(), false);
        return Stream.concat(current.members().stream(), Stream.of(learner)).toList();
    }

    private static List<Member> promote(Membership current, MemberKey key, OptionalLong lag) {
        if (Memberships.find(current, key).isEmpty()) {
            throw invalid("member \"" + key.memberId() + "\" with incarnation " + key.incarnation()
                    + " is not in the group; add it as a learner first");
        }
        if (current.members().stream()
                .anyMatch(member -> member.voter() && member.memberId().equals(key.memberId()))) {
            throw invalid(
                    "another incarnation of member \"" + key.memberId() + "\" is still a voter; remove that one first");
        }
        if (lag.isEmpty() || lag.getAsLong() > MAX_PROMOTION_LAG_ENTRIES) {
            throw invalid("learner \"" + key.memberId() + "\" has not caught up: "
                    + (lag.isEmpty() ? "no contact" : lag.getAsLong() + " entries behind"));
        }
        return current.members().stream()
                .map(member -> MemberKey.of(member).equals(key)
                        ? new Member(member.memberId(), member.incarnation(), member.address(), true)
                        : member)
                .toList();
    }

    private static List<Member> remove(Membership current, MemberKey leader, MemberKey key) {
        if (key.equals(leader)) {
            throw invalid("member \"" + key.memberId() + "\" is the leader; transfer leadership first");
        }
        return current.members().stream()
                .filter(member -> !MemberKey.of(member).equals(key))
                .toList();
    }

    private static WagtailcartException invalid(String message) {
        return new WagtailcartException(ResultCode.MEMBERSHIP_CHANGE_INVALID, message);
    }
}
