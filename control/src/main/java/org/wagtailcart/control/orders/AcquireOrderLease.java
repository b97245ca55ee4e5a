package org.wagtailcart.control.orders;

/**
 * Command that grants the order lease to a member.
 *
 * @param holder id of the new holder
 */
public record AcquireOrderLease(String holder) {}
