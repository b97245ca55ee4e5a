package org.wagtailcart.control.orders;

/**
 * Command that makes a member the only one that may give orders.
 *
 * @param holder the member
 */
public record AcquireOrderLease(String holder) {}
