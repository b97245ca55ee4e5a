package org.wagtailcart.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;

/** Collects the output of one step. */
final class Outbox {
    private final MemberKey self;
    private final Address selfAddress;
    private List<RaftMessage> messages = new ArrayList<>();
    private List<RaftMessage> messagesAfterStore = new ArrayList<>();
    private List<LogEntry> apply = new ArrayList<>();
    private List<NodeEvent> events = new ArrayList<>();
    private @Nullable Snapshot restore;
    private HardState emitted;
    private long storeNumber;

    Outbox(MemberKey self, Address selfAddress, HardState durable) {
        this.self = self;
        this.selfAddress = selfAddress;
        this.emitted = durable;
    }

    RaftMessage.Route routeTo(MemberKey to) {
        return new RaftMessage.Route(self, selfAddress, to);
    }

    void send(RaftMessage message) {
        messages.add(message);
    }

    void sendAfterStore(RaftMessage message) {
        messagesAfterStore.add(message);
    }

    void apply(List<LogEntry> entries) {
        apply.addAll(entries);
    }

    void event(NodeEvent event) {
        events.add(event);
    }

    /** Replaces the state machine; entries to apply that were collected before are covered by the snapshot. */
    void restore(Snapshot snapshot) {
        restore = snapshot;
        apply.clear();
    }

    /** Returns the number that the next store gets. */
    long nextStoreNumber() {
        return storeNumber + 1;
    }

    NodeOutput take(HardState current, NodeLog log) {
        NodeOutput output =
                new NodeOutput(messages, takeStore(current, log), messagesAfterStore, restore, apply, events);
        messages = new ArrayList<>();
        messagesAfterStore = new ArrayList<>();
        apply = new ArrayList<>();
        events = new ArrayList<>();
        restore = null;
        return output;
    }

    private NodeOutput.@Nullable Store takeStore(HardState current, NodeLog log) {
        HardState changed = Objects.equals(current, emitted) ? null : current;
        List<LogEntry> unsaved = log.takeUnsaved();
        if (changed == null && unsaved.isEmpty() && restore == null) {
            return null;
        }
        emitted = current;
        storeNumber++;
        log.storing(storeNumber);
        return new NodeOutput.Store(storeNumber, changed, restore, unsaved);
    }
}
