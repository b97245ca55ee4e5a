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

/** Member of a simulated group: a node, a disk that loses unsynced writes in a crash, and a clock with an offset. */
final class SimulatedMember {
    private record PendingWrite(NodeOutput.StorageWrite write, List<RaftMessage> messages) {}

    private record Proposed(long term, long highestWhenProposed) {}

    private static final Address ADDRESS = new Address("127.0.0.1", 1);

    final MemberKey key;
    private final RaftTuning tuning;
    private final InvariantChecker checker;
    private final Consumer<RaftMessage> network;
    private final Deque<PendingWrite> unsynced = new ArrayDeque<>();
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
    private final Map<Long, Long> highestAcknowledgedByProposal = new HashMap<>();
    private final Map<Long, Proposed> proposedByIndex = new HashMap<>();
    private final Map<Long, Long> committedByRead = new HashMap<>();
    private final TreeMap<Long, List<Long>> confirmedReads = new TreeMap<>();

    SimulatedMember(MemberKey key, RaftTuning tuning, InvariantChecker checker, Consumer<RaftMessage> network) {
        this.key = key;
        this.tuning = tuning;
        this.checker = checker;
        this.network = network;
    }

    void start(long now, long seed, long offset) {
        clockOffset = offset;
        NodeLog log = new NodeLog(diskSnapshot, diskBase, diskBaseTerm, List.copyOf(diskEntries));
        node = new RaftNode(key, ADDRESS, tuning, diskHardState, log, seed, clock(now));
        stateHash =
                diskSnapshot == null ? 0 : ByteBuffer.wrap(diskSnapshot.data()).getLong();
        up = true;
        pausedUntil = 0;
    }

    /** Simulates a crash; of the unsynced writes, only the given number of oldest ones reach the disk. */
    void crash(int survivingWrites) {
        for (int i = 0; i < survivingWrites && !unsynced.isEmpty(); i++) {
            writeToDisk(unsynced.remove().write());
        }
        unsynced.clear();
        highestAcknowledgedByProposal.clear();
        proposedByIndex.clear();
        committedByRead.clear();
        confirmedReads.clear();
        up = false;
    }

    int unsyncedCount() {
        return unsynced.size();
    }

    boolean isLeader() {
        return up && node.status(ADDRESS).role() == RaftStatus.Role.LEADER;
    }

    RaftStatus status() {
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

    void bootstrap(long now, List<Member> voters) {
        perform(now, node.bootstrap(clock(now), now, voters));
    }

    void transfer(long now) {
        perform(now, node.transfer(clock(now)));
    }

    void changeMembership(long now, MembershipChange change) {
        try {
            perform(now, node.changeMembership(clock(now), now, -1, change));
        } catch (WagtailcartException refused) {
            // The operator of the simulation tries again later.
        }
    }

    void propose(long now, long id, String command) {
        highestAcknowledgedByProposal.put(id, checker.highestAcknowledged());
        byte[] bytes = command.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        try {
            perform(now, node.propose(clock(now), now, List.of(new Proposal(id, bytes))));
        } catch (WagtailcartException e) {
            checker.checkRefused(command);
        }
    }

    void requestReadIndex(long now, long id) {
        committedByRead.put(id, checker.highestCommitted());
        try {
            perform(now, node.requestReadIndex(clock(now), List.of(id)));
        } catch (WagtailcartException e) {
            committedByRead.remove(id);
        }
    }

    /** Syncs all writes so far, sends the messages that depend on them and reports them to the node as durable. */
    void sync(long now) {
        List<PendingWrite> synced = List.copyOf(unsynced);
        unsynced.clear();
        long number = 0;
        for (PendingWrite pending : synced) {
            if (pending.write() != null) {
                writeToDisk(pending.write());
                number = pending.write().number();
            }
        }
        synced.forEach(pending -> pending.messages().forEach(network));
        if (number > 0) {
            perform(now, node.onDurable(clock(now), number));
        }
    }

    /** Checks the reported status and confirmed reads, and takes a snapshot when one is due. */
    void afterEvent(long now) {
        RaftStatus status = status();
        if (status.role() == RaftStatus.Role.LEADER) {
            checker.checkLeader(key, status.term(), node.log());
        }
        checker.checkConfirmation(key, status.confirmedAtMillis() - clockOffset, status.appliedIndex());
        while (!confirmedReads.isEmpty() && confirmedReads.firstKey() <= status.appliedIndex()) {
            confirmedReads
                    .pollFirstEntry()
                    .getValue()
                    .forEach(committed -> checker.checkRead(status.appliedIndex(), committed));
        }
        if (node.isSnapshotDue() && unsynced.isEmpty()) {
            byte[] data = ByteBuffer.allocate(200).putLong(stateHash).array();
            Snapshot snapshot = node.buildSnapshot(now, data);
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
        if (output.write() != null) {
            output.write().entries().forEach(entry -> checker.checkEntry(node.log(), entry));
        }
        if (output.write() != null || !output.messagesAfterWrite().isEmpty()) {
            unsynced.add(new PendingWrite(output.write(), output.messagesAfterWrite()));
        }
        output.messages().forEach(network);
        if (output.restoredSnapshot() != null) {
            stateHash = ByteBuffer.wrap(output.restoredSnapshot().data()).getLong();
            checker.checkRestored(key, output.restoredSnapshot().index(), stateHash);
        }
        output.committedEntries().forEach(entry -> apply(now, entry));
        afterEvent(now);
    }

    private void apply(long now, LogEntry entry) {
        stateHash = 31 * stateHash + Arrays.hashCode(entry.payload()) + entry.index();
        checker.checkApplied(now, key, node.hardState().term(), entry, stateHash);
        Proposed proposed = proposedByIndex.remove(entry.index());
        if (proposed != null && proposed.term() == entry.term()) {
            checker.checkAcknowledged(entry.index(), proposed.highestWhenProposed());
        }
    }

    private void handle(NodeEvent event) {
        if (event instanceof NodeEvent.Appended appended
                && highestAcknowledgedByProposal.containsKey(appended.proposalId())) {
            long highest = highestAcknowledgedByProposal.remove(appended.proposalId());
            proposedByIndex.put(appended.index(), new Proposed(appended.term(), highest));
        } else if (event instanceof NodeEvent.ReadConfirmed read) {
            long committed = committedByRead.remove(read.readId());
            confirmedReads
                    .computeIfAbsent(read.index(), index -> new ArrayList<>())
                    .add(committed);
        } else if (event instanceof NodeEvent.LeadershipEnded) {
            proposedByIndex.clear();
            committedByRead.clear();
        }
    }

    private void writeToDisk(NodeOutput.StorageWrite write) {
        if (write == null) {
            return;
        }
        if (write.hardState() != null) {
            diskHardState = write.hardState();
        }
        if (write.snapshot() != null) {
            diskSnapshot = write.snapshot();
            diskBase = diskSnapshot.index();
            diskBaseTerm = diskSnapshot.term();
            diskEntries.clear();
        }
        for (LogEntry entry : write.entries()) {
            diskEntries.removeIf(old -> old.index() >= entry.index());
            diskEntries.add(entry);
        }
    }
}
