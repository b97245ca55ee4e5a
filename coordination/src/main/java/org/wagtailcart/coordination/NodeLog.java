package org.wagtailcart.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * In-memory Raft log of a member: the entries after the base index, the memberships in them, and the index up to which
 * they are durable.
 */
final class NodeLog {
    private static final class PendingWrite {
        private final long number;
        private long lastIndex;

        PendingWrite(long number, long lastIndex) {
            this.number = number;
            this.lastIndex = lastIndex;
        }
    }

    private final List<LogEntry> entries = new ArrayList<>();
    private final NavigableMap<Long, Membership> membershipsByIndex = new TreeMap<>();
    private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();
    private @Nullable Snapshot snapshot;
    private long baseIndex;
    private long baseTerm;
    private long durableIndex;
    private long firstUnwrittenIndex;
    private long entryBytes;

    /** Creates an empty log. */
    NodeLog() {
        this(null, 0, 0, List.of());
    }

    /**
     * Creates a log from durable state.
     *
     * @param snapshot latest snapshot, null for none
     * @param baseIndex index before the first entry, at most the index of the snapshot
     * @param baseTerm term at that index
     * @param durableEntries entries after the base
     */
    NodeLog(@Nullable Snapshot snapshot, long baseIndex, long baseTerm, List<LogEntry> durableEntries) {
        this.snapshot = snapshot;
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
        if (snapshot != null) {
            membershipsByIndex.put(0L, snapshot.members());
        }
        firstUnwrittenIndex = baseIndex + 1;
        durableEntries.forEach(this::append);
        firstUnwrittenIndex = lastIndex() + 1;
        durableIndex = lastIndex();
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
    }

    long baseIndex() {
        return baseIndex;
    }

    long baseTerm() {
        return baseTerm;
    }

    long durableIndex() {
        return durableIndex;
    }

    @Nullable
    Snapshot snapshot() {
        return snapshot;
    }

    long snapshotIndex() {
        return snapshot == null ? 0 : snapshot.index();
    }

    /** Returns the term of an entry, empty when the index is before the base or after the end. */
    OptionalLong termAt(long index) {
        if (index == baseIndex) {
            return OptionalLong.of(baseTerm);
        }
        return index < baseIndex || index > lastIndex()
                ? OptionalLong.empty()
                : OptionalLong.of(entry(index).term());
    }

    boolean matches(long index, long term) {
        OptionalLong localTerm = termAt(index);
        return localTerm.isPresent() && localTerm.getAsLong() == term;
    }

    /** Returns whether a log with this last entry is at least as up to date as this one. */
    boolean isUpToDate(long otherLastIndex, long otherLastTerm) {
        return otherLastTerm != lastTerm() ? otherLastTerm > lastTerm() : otherLastIndex >= lastIndex();
    }

    /** Returns the latest membership, committed or not. */
    Membership membership() {
        return membershipsByIndex.isEmpty()
                ? Memberships.EMPTY
                : membershipsByIndex.lastEntry().getValue();
    }

    Membership membershipAt(long index) {
        var found = membershipsByIndex.floorEntry(index);
        return found == null ? Memberships.EMPTY : found.getValue();
    }

    /** Returns the entries from an index to another, both included. */
    List<LogEntry> between(long from, long to) {
        return List.copyOf(entries.subList(position(from), position(to) + 1));
    }

    /** Returns entries from an index on up to a number of bytes; at least one if the index is in the log. */
    List<LogEntry> from(long index, int maxBytes) {
        long bytes = 0;
        long to = index - 1;
        while (to < lastIndex() && (to < index || bytes + entry(to + 1).sizeBytes() <= maxBytes)) {
            to++;
            bytes += entry(to).sizeBytes();
        }
        return between(index, to);
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "entry " + entry.index() + " does not follow the last entry " + lastIndex());
        }
        entries.add(entry);
        entryBytes += entry.sizeBytes();
        if (entry.kind() == LogEntry.Kind.MEMBERS) {
            membershipsByIndex.put(entry.index(), Memberships.decode(entry.payload()));
        }
    }

    /** Removes all entries from an index on. */
    void truncateFrom(long index) {
        List<LogEntry> removed = entries.subList(position(index), entries.size());
        entryBytes -= removed.stream().mapToLong(LogEntry::sizeBytes).sum();
        removed.clear();
        membershipsByIndex.tailMap(index, true).clear();
        firstUnwrittenIndex = Math.min(firstUnwrittenIndex, index);
        durableIndex = Math.min(durableIndex, index - 1);
        pendingWrites.forEach(pending -> pending.lastIndex = Math.min(pending.lastIndex, index - 1));
    }

    /** Replaces the full log by a snapshot from a leader. */
    void install(Snapshot newSnapshot) {
        truncateFrom(baseIndex + 1);
        membershipsByIndex.clear();
        membershipsByIndex.put(0L, newSnapshot.members());
        snapshot = newSnapshot;
        baseIndex = newSnapshot.index();
        baseTerm = newSnapshot.term();
        firstUnwrittenIndex = baseIndex + 1;
        durableIndex = 0;
    }

    /** Removes the entries up to a new base that a durable snapshot covers; does nothing for an older snapshot. */
    void compact(Snapshot newSnapshot, long newBase) {
        if (newSnapshot.index() <= snapshotIndex()) {
            return;
        }
        long newBaseTerm = termAt(newBase).orElseThrow();
        Membership atBase = membershipAt(newBase);
        List<LogEntry> removed = entries.subList(0, (int) (newBase - baseIndex));
        entryBytes -= removed.stream().mapToLong(LogEntry::sizeBytes).sum();
        removed.clear();
        membershipsByIndex.headMap(newBase, true).clear();
        membershipsByIndex.put(0L, atBase);
        baseIndex = newBase;
        baseTerm = newBaseTerm;
        snapshot = newSnapshot;
    }

    /** Returns the base index that retains at most the given entries and bytes up to an index. */
    long retainedBase(long index, int maxEntries, long maxBytes) {
        long base = index;
        long bytes = 0;
        while (base > baseIndex
                && index - base < maxEntries
                && bytes + entry(base).sizeBytes() <= maxBytes) {
            bytes += entry(base).sizeBytes();
            base--;
        }
        return Math.max(base, baseIndex);
    }

    /** Returns the entries for which no write has started yet and marks them as taken. */
    List<LogEntry> takeUnwritten() {
        List<LogEntry> unwritten =
                firstUnwrittenIndex > lastIndex() ? List.of() : between(firstUnwrittenIndex, lastIndex());
        firstUnwrittenIndex = lastIndex() + 1;
        return unwritten;
    }

    /** Records that the write with a number covers the log up to its last entry. */
    void onWriteStarted(long number) {
        pendingWrites.add(new PendingWrite(number, lastIndex()));
    }

    /** Records that all writes up to a number are durable. */
    void onDurable(long number) {
        while (!pendingWrites.isEmpty() && Objects.requireNonNull(pendingWrites.peek()).number <= number) {
            durableIndex = Math.max(durableIndex, pendingWrites.remove().lastIndex);
        }
    }

    /** Returns the size of the entries in memory. */
    long entryBytes() {
        return entryBytes;
    }

    private LogEntry entry(long index) {
        return entries.get(position(index));
    }

    private int position(long index) {
        return (int) (index - baseIndex - 1);
    }
}
