package org.wagtailcart.coordination;

/**
 * Snapshot of the state machine after a committed entry.
 *
 * @param index index of that entry
 * @param term term of that entry
 * @param timeMillis state machine time after that entry
 * @param members membership at that entry
 * @param data encoded state of the state machine
 */
record Snapshot(long index, long term, long timeMillis, Membership members, byte[] data) {}
