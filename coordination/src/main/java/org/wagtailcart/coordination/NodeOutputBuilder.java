package org.wagtailcart.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;

/** Builder of the {@link NodeOutput} of one step. */
final class NodeOutputBuilder {
    private final MemberKey self;
    private final Address selfAddress;
    private List<RaftMessage> messages = new ArrayList<>();
    private List<RaftMessage> messagesAfterWrite = new ArrayList<>();
    private List<LogEntry> apply = new ArrayList<>();
    private List<NodeEvent> events = new ArrayList<>();
    private @Nullable Snapshot restore;
    private HardState emittedHardState;
    private long writeNumber;

    NodeOutputBuilder(MemberKey self, Address selfAddress, HardState durable) {
        this.self = self;
        this.selfAddress = selfAddress;
        this.emittedHardState = durable;
    }

    RaftMessage.Envelope envelopeTo(MemberKey to) {
        return new RaftMessage.Envelope(self, selfAddress, to);
    }

    void send(RaftMessage message) {
        messages.add(message);
    }

    void sendAfterWrite(RaftMessage message) {
        messagesAfterWrite.add(message);
    }

    void apply(List<LogEntry> entries) {
        apply.addAll(entries);
    }

    void addEvent(NodeEvent event) {
        events.add(event);
    }

    /** Replaces the state by a snapshot, which covers the entries collected for application so far. */
    void restore(Snapshot snapshot) {
        restore = snapshot;
        apply.clear();
    }

    /** Returns the number of the next storage write. */
    long nextWriteNumber() {
        return writeNumber + 1;
    }

    NodeOutput takeOutput(HardState current, NodeLog log) {
        NodeOutput output =
                new NodeOutput(messages, takeWrite(current, log), messagesAfterWrite, restore, apply, events);
        messages = new ArrayList<>();
        messagesAfterWrite = new ArrayList<>();
        apply = new ArrayList<>();
        events = new ArrayList<>();
        restore = null;
        return output;
    }

    private NodeOutput.@Nullable StorageWrite takeWrite(HardState current, NodeLog log) {
        HardState changed = Objects.equals(current, emittedHardState) ? null : current;
        List<LogEntry> unwritten = log.takeUnwritten();
        if (changed == null && unwritten.isEmpty() && restore == null) {
            return null;
        }
        emittedHardState = current;
        writeNumber++;
        log.onWriteStarted(writeNumber);
        return new NodeOutput.StorageWrite(writeNumber, changed, restore, unwritten);
    }
}
