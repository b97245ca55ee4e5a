package org.wagtailcart.standin;

/**
 * An order that a stand-in engine received, with its decision.
 *
 * @param sequence number in order of receipt, from 1
 * @param fencingToken fencing token of the order
 * @param target ordered configuration as text
 * @param accepted whether the engine carries it out
 * @param stale whether an order with a higher fencing token was received before
 * @param whileChanging whether another order was being carried out
 */
public record OrderRecord(
        int sequence, long fencingToken, String target, boolean accepted, boolean stale, boolean whileChanging) {
    /** Returns whether the order violates fencing or exclusion: it was stale or came during another order. */
    public boolean conflicting() {
        return stale || whileChanging;
    }
}
