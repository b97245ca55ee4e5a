package org.wagtailcart.coordination;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.WagtailcartException;

/** One host of a simulated group: a node, a disk whose unsynced writes a crash loses, and a clock of its own. */
final class SimulatedMember {
    private record PendingStore(NodeOutput.Store store, List<RaftMessage> messages) {}

    private record Proposed(long term, long highestWhenProposed) {}

    private static final Address ADDRESS = new Address("127.0.0.1", 1);

    final MemberKey key;
    private final RaftTiming timing;
    private final Oracle oracle;
    private final Consumer<RaftMessage> network;
    private final Deque<PendingStore> unsynced = new ArrayDeque<>();
    private HardState diskHardState = new HardState(0, null);
    private Snapshot diskSnapshot;
    private long diskBase;
    private long diskBaseTerm;
    private final List<LogEntry> diskEntries = new ArrayList<>();

    RaftNode node;
    boolean up;
    long pausedUntil;
    long syncDueAt;
    private long clockOffset;
    private long stateHash;
    private final Map<Long, Long> highestByProposal = new HashMap<>();
    private final Map<Long, Proposed> proposedByIndex = new HashMap<>();
    private final Map<Long, Long> committedByRead = new HashMap<>();
    private final TreeMap<Long, List<Long>> confirmedReads = new TreeMap<>();

    SimulatedMember(MemberKey key, RaftTiming timing, Oracle oracle, Consumer<RaftMessage> network) {
        this.key = key;
        this.timing = timing;
        this.oracle = oracle;
        this.network = network;
    }

    void start(long now, long seed, long offset) {
        clockOffset = offset;
        NodeLog log = new NodeLog(diskSnapshot, diskBase, diskBaseTerm, List.copyOf(diskEntries));
        node = new RaftNode(key, ADDRESS, timing, diskHardState, log, seed, clock(now));
        stateHash =
                diskSnapshot == null ? 0 : ByteBuffer.wrap(diskSnapshot.data()).getLong();
        up = true;
        pausedUntil = 0;
    }

    /** Ends the process; of the writes not yet synced only the given number of oldest ones reached the disk. */
    void crash(int survivingStores) {
        for (int i = 0; i < survivingStores && !unsynced.isEmpty(); i++) {
            writeToDisk(unsynced.remove().store());
        }
        unsynced.clear();
        highestByProposal.clear();
        proposedByIndex.clear();
        committedByRead.clear();
        confirmedReads.clear();
        up = false;
    }

    int unsyncedCount() {
        return unsynced.size();
    }

    boolean isLeader() {
        return up && node.status(ADDRESS).role() == LogStatus.Role.LEADER;
    }

    LogStatus status() {
        return node.status(ADDRESS);
    }

    long stateHash() {
        return stateHash;
    }

    void step(long now, RaftMessage message) {
        perform(now, node.step(clock(now), message));
    }

    void tick(long now) {
        perform(now, node.tick(clock(now)));
    }

    void found(long now, List<Member> voters) {
        perform(now, node.found(clock(now), now, voters));
    }

    void transfer(long now) {
        perform(now, node.transfer(clock(now)));
    }

    void changeMembers(long now, MemberChange change) {
        try {
            perform(now, node.changeMembers(clock(now), now, -1, change));
        } catch (WagtailcartException refused) {
            // The administrator of the simulation tries again later.
        }
    }

    void propose(long now, long id, String command) {
        highestByProposal.put(id, oracle.highestAcknowledged());
        byte[] bytes = command.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        try {
            perform(now, node.propose(clock(now), now, List.of(new Proposal(id, bytes))));
        } catch (WagtailcartException e) {
            oracle.refused(command);
        }
    }

    void read(long now, long id) {
        committedByRead.put(id, oracle.highestCommitted());
        try {
            perform(now, node.read(clock(now), List.of(id)));
        } catch (WagtailcartException e) {
            committedByRead.remove(id);
        }
    }

    /** Syncs everything written so far. */
    void sync(long now) {
        List<PendingStore> synced = List.copyOf(unsynced);
        unsynced.clear();
        long number = 0;
        for (PendingStore pending : synced) {
            if (pending.store() != null) {
                writeToDisk(pending.store());
                number = pending.store().number();
            }
        }
        synced.forEach(pending -> pending.messages().forEach(network));
        if (number > 0) {
            perform(now, node.stored(clock(now), number));
        }
    }

    /** Checks what the member reports and takes a snapshot when one is due. */
    void afterEvent(long now) {
        LogStatus status = status();
        if (status.role() == LogStatus.Role.LEADER) {
            oracle.leads(key, status.term(), node.log());
        }
        oracle.confirmed(key, status.confirmedAtMillis() - clockOffset, status.appliedIndex());
        while (!confirmedReads.isEmpty() && confirmedReads.firstKey() <= status.appliedIndex()) {
            confirmedReads.pollFirstEntry().getValue().forEach(asked -> oracle.read(status.appliedIndex(), asked));
        }
        if (node.isSnapshotDue() && unsynced.isEmpty()) {
            byte[] data = ByteBuffer.allocate(200).putLong(stateHash).array();
            Snapshot snapshot = node.describeSnapshot(now, data);
            diskSnapshot = snapshot;
            node.compact(snapshot);
            diskBase = node.log().baseIndex();
            diskBaseTerm = node.log().baseTerm();
            diskEntries.removeIf(entry -> entry.index() <= diskBase);
        }
    }

    private long clock(long now) {
        return now + clockOffset;
    }

    private void perform(long now, NodeOutput output) {
        output.events().forEach(this::handle);
        if (output.store() != null) {
            output.store().entries().forEach(entry -> oracle.stored(node.log(), entry));
        }
        if (output.store() != null || !output.messagesAfterStore().isEmpty()) {
            unsynced.add(new PendingStore(output.store(), output.messagesAfterStore()));
        }
        output.messages().forEach(network);
        if (output.restore() != null) {
            stateHash = ByteBuffer.wrap(output.restore().data()).getLong();
            oracle.restored(key, output.restore().index(), stateHash);
        }
        output.apply().forEach(entry -> apply(now, entry));
        afterEvent(now);
    }

    private void apply(long now, LogEntry entry) {
        stateHash = 31 * stateHash + Arrays.hashCode(entry.payload()) + entry.index();
        oracle.applied(now, key, node.hardState().term(), entry, stateHash);
        Proposed proposed = proposedByIndex.remove(entry.index());
        if (proposed != null && proposed.term() == entry.term()) {
            oracle.acknowledged(entry.index(), proposed.highestWhenProposed());
        }
    }

    private void handle(NodeEvent event) {
        if (event instanceof NodeEvent.Appended appended && highestByProposal.containsKey(appended.proposalId())) {
            long highest = highestByProposal.remove(appended.proposalId());
            proposedByIndex.put(appended.index(), new Proposed(appended.term(), highest));
        } else if (event instanceof NodeEvent.ReadConfirmed read) {
            long asked = committedByRead.remove(read.readId());
            confirmedReads
                    .computeIfAbsent(read.index(), index -> new ArrayList<>())
                    .add(asked);
        } else if (event instanceof NodeEvent.LeadershipEnded) {
            proposedByIndex.clear();
            committedByRead.clear();
        }
    }

    private void writeToDisk(NodeOutput.Store store) {
        if (store == null) {
            return;
        }
        if (store.hardState() != null) {
            diskHardState = store.hardState();
        }
        if (store.snapshot() != null) {
            diskSnapshot = store.snapshot();
            diskBase = diskSnapshot.index();
            diskBaseTerm = diskSnapshot.term();
            diskEntries.clear();
        }
        for (LogEntry entry : store.entries()) {
            diskEntries.removeIf(old -> old.index() >= entry.index());
            diskEntries.add(entry);
        }
    }
}
