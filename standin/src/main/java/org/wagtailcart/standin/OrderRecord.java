package org.wagtailcart.standin;

/**
 * An order as the engine received it.
 *
 * @param sequence order of receipt, from 1
 * @param fencingToken fencing token of the order
 * @param target ordered configuration as text
 * @param accepted whether the engine carries it out
 * @param stale whether an order with a higher token was received before
 * @param whileChanging whether another order was being carried out
 */
public record OrderRecord(
        int sequence, long fencingToken, String target, boolean accepted, boolean stale, boolean whileChanging) {
    /** Returns whether the engine should never have received this order at this time. */
    public boolean conflicting() {
        return stale || whileChanging;
    }
}
