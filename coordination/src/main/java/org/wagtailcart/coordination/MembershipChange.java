package org.wagtailcart.coordination;

/**
 * Change of one member of the group.
 *
 * @param kind kind of change
 * @param member member to change; for REMOVE and PROMOTE only its id and incarnation are used
 */
public record MembershipChange(Kind kind, Member member) {
    /** Kinds of change. */
    public enum Kind {
        /** Adds a learner. */
        ADD_LEARNER,
        /** Makes a voter of a learner that has caught up. */
        PROMOTE,
        /** Removes a voter or learner. */
        REMOVE
    }
}
