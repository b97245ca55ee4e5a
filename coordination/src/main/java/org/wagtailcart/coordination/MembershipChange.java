package org.wagtailcart.coordination;

/**
 * One change of the membership.
 *
 * @param kind what to do
 * @param member the member concerned; for REMOVE and PROMOTE only its id and incarnation count
 */
public record MembershipChange(Kind kind, Member member) {
    /** Kinds of change. */
    public enum Kind {
        /** Adds a learner. */
        ADD_LEARNER,
        /** Makes a learner that has caught up a voter. */
        PROMOTE,
        /** Removes a voter or learner. */
        REMOVE
    }
}
