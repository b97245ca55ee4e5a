package org.wagtailcart.coordination;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What the driver must do after a step, in this order: store, send, apply.
 *
 * @param messages may be sent at once
 * @param store what to make durable, null for nothing
 * @param messagesAfterStore may be sent only once this store and all earlier ones are durable
 * @param restore state that replaces the state machine before {@code apply}, null for none
 * @param apply committed entries, in order
 * @param events news for callers
 */
record NodeOutput(
        List<RaftMessage> messages,
        @Nullable Store store,
        List<RaftMessage> messagesAfterStore,
        @Nullable Snapshot restore,
        List<LogEntry> apply,
        List<NodeEvent> events) {

    /**
     * Write to the disk. Stores are made durable in the order of their numbers; the driver reports each with
     * {@link RaftNode#stored}.
     *
     * @param number grows by one
     * @param hardState new term and vote, null when unchanged
     * @param snapshot snapshot received from a leader, null for none; it replaces the log up to its index
     * @param entries entries; the first one replaces all stored entries from its index on
     */
    record Store(long number, @Nullable HardState hardState, @Nullable Snapshot snapshot, List<LogEntry> entries) {}
}
