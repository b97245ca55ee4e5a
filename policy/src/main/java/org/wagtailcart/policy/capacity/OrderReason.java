package org.wagtailcart.policy.capacity;

/** Reason of an order for a number of replicas. */
public enum OrderReason {
    /** More replicas are needed than were ordered or are listed. */
    MORE_DEMAND,
    /** Fewer replicas are needed. */
    LESS_DEMAND,
    /** The host list does not show the number that was ordered. */
    NOT_SHOWN,
    /** The last call had no response. */
    UNANSWERED
}
