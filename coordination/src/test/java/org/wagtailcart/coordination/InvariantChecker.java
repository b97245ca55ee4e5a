package org.wagtailcart.coordination;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

/** Checks the safety invariants of Raft over all members of a simulated group. */
final class InvariantChecker {
    private record EntryId(long index, long term) {}

    private record Content(LogEntry.Kind kind, int payloadHash, long previousTerm) {}

    /** Committed entry, and the term of the member that applied it first; it was committed in that term or before. */
    private record Commit(long entryTerm, long observedInTerm) {}

    private final Map<Long, MemberKey> leadersByTerm = new HashMap<>();
    private final Map<EntryId, Content> contents = new HashMap<>();
    private final NavigableMap<Long, Commit> committed = new TreeMap<>();
    private final NavigableMap<Long, Long> stateHashes = new TreeMap<>();
    private final NavigableMap<Long, Long> committedIndexByTime = new TreeMap<>(Map.of(-1L, 0L));
    private final Set<String> committedCommands = new HashSet<>();
    private final Set<String> refusedCommands = new HashSet<>();
    private long highestAcknowledged;
    long acknowledgedProposals;
    long confirmedReads;
    long confirmations;

    /**
     * Checks that a term has at most one leader, which has every entry committed in an earlier term. A candidate that
     * was paused may still win an old term after later terms have committed more entries; it cannot commit anything then.
     */
    void checkLeader(MemberKey member, long term, NodeLog log) {
        MemberKey other = leadersByTerm.putIfAbsent(term, member);
        check(other == null || other.equals(member), () -> "term " + term + " has leaders " + other + " and " + member);
        if (other != null) {
            return;
        }
        committed
                .tailMap(log.baseIndex(), false)
                .forEach((index, commit) -> check(
                        commit.observedInTerm() >= term || log.matches(index, commit.entryTerm()),
                        () -> "leader " + member + " of term " + term + " lacks committed entry " + index));
    }

    /** Checks log matching: index and term determine an entry and the term before it, and so the full log up to it. */
    void checkEntry(NodeLog log, LogEntry entry) {
        long previousTerm =
                entry.index() == 1 ? 0 : log.termAt(entry.index() - 1).orElse(-1);
        Content content = new Content(entry.kind(), Arrays.hashCode(entry.payload()), previousTerm);
        Content known = contents.putIfAbsent(new EntryId(entry.index(), entry.term()), content);
        check(known == null || known.equals(content), () -> "entry " + entry + " differs between members");
    }

    /** Checks that committed entries are never lost or changed and give the same state on every member. */
    void checkApplied(long now, MemberKey member, long memberTerm, LogEntry entry, long stateHash) {
        Commit known = committed.putIfAbsent(entry.index(), new Commit(entry.term(), memberTerm));
        check(
                known == null || known.entryTerm() == entry.term(),
                () -> member + " applied a different entry at index " + entry.index());
        Long hash = stateHashes.putIfAbsent(entry.index(), stateHash);
        check(hash == null || hash == stateHash, () -> member + " has a different state after index " + entry.index());
        if (known == null && entry.kind() == LogEntry.Kind.COMMAND) {
            String command = new String(entry.payload(), java.nio.charset.StandardCharsets.UTF_8);
            check(committedCommands.add(command), () -> "command " + command + " was committed twice");
            check(
                    !refusedCommands.contains(command),
                    () -> "command " + command + " was refused as not run but committed");
        }
        if (entry.index() > committedIndexByTime.lastEntry().getValue()) {
            committedIndexByTime.put(now, entry.index());
        }
    }

    void checkRestored(MemberKey member, long index, long stateHash) {
        check(stateHashes.get(index) == stateHash, () -> member + " restored a different state at index " + index);
    }

    void checkRefused(String command) {
        refusedCommands.add(command);
        check(
                !committedCommands.contains(command),
                () -> "command " + command + " was committed but refused as not run");
    }

    /** Checks that an acknowledged proposal is after everything acknowledged before it was proposed. */
    void checkAcknowledged(long index, long highestWhenProposed) {
        check(
                index > highestWhenProposed,
                () -> "proposal at index " + index + " is not after acknowledged index " + highestWhenProposed);
        highestAcknowledged = Math.max(highestAcknowledged, index);
        acknowledgedProposals++;
    }

    long highestAcknowledged() {
        return highestAcknowledged;
    }

    long highestCommitted() {
        return committedIndexByTime.lastEntry().getValue();
    }

    /** Checks that a confirmed read sees everything committed before it was requested. */
    void checkRead(long appliedIndex, long committedWhenRequested) {
        check(
                appliedIndex >= committedWhenRequested,
                () -> "read at applied index " + appliedIndex + " misses committed index " + committedWhenRequested);
        confirmedReads++;
    }

    /** Checks that a member has applied everything committed before the confirmation time that it reports. */
    void checkConfirmation(MemberKey member, long confirmedAt, long appliedIndex) {
        if (confirmedAt > 0) {
            long committed = committedIndexByTime.lowerEntry(confirmedAt).getValue();
            check(
                    appliedIndex >= committed,
                    () -> member + " reports confirmation time " + confirmedAt + " but misses entries from "
                            + appliedIndex + " to " + committed);
            confirmations++;
        }
    }

    private static void check(boolean condition, Supplier<String> violation) {
        if (!condition) {
            throw new AssertionError(violation.get());
        }
    }
}
