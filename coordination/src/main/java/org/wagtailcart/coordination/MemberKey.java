package org.wagtailcart.coordination;

/**
 * Identity of a member. A member that lost its disk has the same id and another incarnation, so it counts as another
 * member.
 *
 * @param memberId name from the settings
 * @param incarnation random number of its data folder
 */
public record MemberKey(String memberId, long incarnation) {
    /** Returns the identity of a member. */
    static MemberKey of(Member member) {
        return new MemberKey(member.memberId(), member.incarnation());
    }
}
