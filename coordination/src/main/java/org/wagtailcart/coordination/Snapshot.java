package org.wagtailcart.coordination;

/**
 * State machine after a committed entry.
 *
 * @param index index of that entry
 * @param term term of that entry
 * @param timeMillis state machine time after it
 * @param members membership in force at it
 * @param data encoded state
 */
record Snapshot(long index, long term, long timeMillis, Membership members, byte[] data) {}
