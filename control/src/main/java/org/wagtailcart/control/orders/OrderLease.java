package org.wagtailcart.control.orders;

/**
 * Exclusive lease of a control member for sending orders to engines.
 *
 * @param holder id of the member that holds the lease, empty before the first grant
 * @param fencingToken number that increases with each grant
 * @param previousHolder id of the last holder other than {@code holder}, empty for none
 */
public record OrderLease(String holder, long fencingToken, String previousHolder) {
    /** State before the first grant. */
    public static final OrderLease NONE = new OrderLease("", 0, "");

    /** Returns the lease after a grant to a member, with the next fencing token. */
    public OrderLease grantedTo(String newHolder) {
        String previous = newHolder.equals(holder) ? previousHolder : holder;
        return new OrderLease(newHolder, fencingToken + 1, previous);
    }
}
