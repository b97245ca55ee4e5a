package org.wagtailcart.control.orders;

/**
 * Right to give orders to engines.
 *
 * @param holder member that has it, empty when nobody ever had it
 * @param fencingToken number that grows with each grant
 * @param previousHolder member that had it before, empty for none
 */
public record OrderLease(String holder, long fencingToken, String previousHolder) {
    /** Lease before the first grant. */
    public static final OrderLease NONE = new OrderLease("", 0, "");

    /** Returns the lease after a grant. */
    public OrderLease grantedTo(String newHolder) {
        String before = newHolder.equals(holder) ? previousHolder : holder;
        return new OrderLease(newHolder, fencingToken + 1, before);
    }
}
