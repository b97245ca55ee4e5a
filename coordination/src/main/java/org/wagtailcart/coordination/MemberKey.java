package org.wagtailcart.coordination;

/**
 * Unique key of a member. A member that lost its disk has the same id and another incarnation, so it is treated as
 * another member.
 *
 * @param memberId id from the settings
 * @param incarnation random number of the data folder
 */
public record MemberKey(String memberId, long incarnation) {
    /** Returns the key of a member. */
    static MemberKey of(Member member) {
        return new MemberKey(member.memberId(), member.incarnation());
    }
}
