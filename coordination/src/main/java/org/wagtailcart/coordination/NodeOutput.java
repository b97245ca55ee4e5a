package org.wagtailcart.coordination;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Work for the driver after a step of the node, in this order: write, send, apply.
 *
 * @param messages messages to send at once
 * @param write write to make durable, null for none
 * @param messagesAfterWrite messages to send only once this write and all earlier ones are durable
 * @param restoredSnapshot snapshot that replaces the state before {@code committedEntries} are applied, null for none
 * @param committedEntries entries to apply, in order
 * @param events events for pending calls
 */
record NodeOutput(
        List<RaftMessage> messages,
        @Nullable StorageWrite write,
        List<RaftMessage> messagesAfterWrite,
        @Nullable Snapshot restoredSnapshot,
        List<LogEntry> committedEntries,
        List<NodeEvent> events) {

    /**
     * Write to the disk. Writes become durable in the order of their numbers; the driver reports them with
     * {@link RaftNode#onDurable}.
     *
     * @param number sequence number, increases by one
     * @param hardState new term and vote, null when unchanged
     * @param snapshot snapshot received from a leader, null for none; it replaces the full log
     * @param entries entries to append; the first one replaces all entries from its index on
     */
    record StorageWrite(
            long number, @Nullable HardState hardState, @Nullable Snapshot snapshot, List<LogEntry> entries) {}
}
