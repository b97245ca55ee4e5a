package org.wagtailcart.coordination;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What the driver must do after a step, in this order: store, send, apply.
 *
 * @param messages may be sent at once
 * @param write what to make durable, null for nothing
 * @param messagesAfterWrite may be sent only once this store and all earlier ones are durable
 * @param restoredSnapshot state that replaces the state machine before {@code apply}, null for none
 * @param committedEntries committed entries, in order
 * @param events news for callers
 */
record NodeOutput(
        List<RaftMessage> messages,
        @Nullable StorageWrite write,
        List<RaftMessage> messagesAfterWrite,
        @Nullable Snapshot restoredSnapshot,
        List<LogEntry> committedEntries,
        List<NodeEvent> events) {

    /**
     * Write to the disk. Stores are made durable in the order of their numbers; the driver reports each with
     * {@link RaftNode#onDurable}.
     *
     * @param number grows by one
     * @param hardState new term and vote, null when unchanged
     * @param snapshot snapshot received from a leader, null for none; it replaces the log up to its index
     * @param entries entries; the first one replaces all stored entries from its index on
     */
    record StorageWrite(
            long number, @Nullable HardState hardState, @Nullable Snapshot snapshot, List<LogEntry> entries) {}
}
