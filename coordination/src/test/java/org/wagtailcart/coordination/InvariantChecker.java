package org.wagtailcart.coordination;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

/** Checks what must always hold, over all members of a simulated group. */
final class InvariantChecker {
    private record EntryId(long index, long term) {}

    private record Content(LogEntry.Kind kind, int payloadHash, long previousTerm) {}

    /** An entry that a member applied first when it was in the given term, so it was committed in that term or before. */
    private record Commit(long entryTerm, long observedInTerm) {}

    private final Map<Long, MemberKey> leadersByTerm = new HashMap<>();
    private final Map<EntryId, Content> contents = new HashMap<>();
    private final NavigableMap<Long, Commit> committed = new TreeMap<>();
    private final NavigableMap<Long, Long> stateHashes = new TreeMap<>();
    private final NavigableMap<Long, Long> committedAt = new TreeMap<>(Map.of(-1L, 0L));
    private final Set<String> committedCommands = new HashSet<>();
    private final Set<String> refusedCommands = new HashSet<>();
    private long highestAcknowledged;
    long acknowledgedProposals;
    long confirmedReads;
    long confirmations;

    /**
     * One leader per term, and each leader has every entry committed in an earlier term. A candidate that was paused may
     * still win an old term after later terms have committed more; it cannot commit anything then.
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

    /** Log matching: index and term determine an entry and the term before it, and so the whole log up to it. */
    void checkEntry(NodeLog log, LogEntry entry) {
        long previousTerm =
                entry.index() == 1 ? 0 : log.termAt(entry.index() - 1).orElse(-1);
        Content content = new Content(entry.kind(), Arrays.hashCode(entry.payload()), previousTerm);
        Content known = contents.putIfAbsent(new EntryId(entry.index(), entry.term()), content);
        check(known == null || known.equals(content), () -> "entry " + entry + " differs between members");
    }

    /** Committed entries are never lost or changed, and every member gets the same state from them. */
    void checkApplied(long now, MemberKey member, long memberTerm, LogEntry entry, long stateHash) {
        Commit known = committed.putIfAbsent(entry.index(), new Commit(entry.term(), memberTerm));
        check(
                known == null || known.entryTerm() == entry.term(),
                () -> member + " applied another entry at " + entry.index());
        Long hash = stateHashes.putIfAbsent(entry.index(), stateHash);
        check(hash == null || hash == stateHash, () -> member + " has another state after " + entry.index());
        if (known == null && entry.kind() == LogEntry.Kind.COMMAND) {
            String command = new String(entry.payload(), java.nio.charset.StandardCharsets.UTF_8);
            check(committedCommands.add(command), () -> "command " + command + " was committed twice");
            check(
                    !refusedCommands.contains(command),
                    () -> "command " + command + " was refused as not run but committed");
        }
        if (entry.index() > committedAt.lastEntry().getValue()) {
            committedAt.put(now, entry.index());
        }
    }

    void checkRestored(MemberKey member, long index, long stateHash) {
        check(stateHashes.get(index) == stateHash, () -> member + " restored another state at " + index);
    }

    void checkRefused(String command) {
        refusedCommands.add(command);
        check(
                !committedCommands.contains(command),
                () -> "command " + command + " was committed but refused as not run");
    }

    /** An acknowledged proposal comes after everything acknowledged before it was made. */
    void checkAcknowledged(long index, long highestWhenProposed) {
        check(index > highestWhenProposed, () -> "proposal at " + index + " is not after " + highestWhenProposed);
        highestAcknowledged = Math.max(highestAcknowledged, index);
        acknowledgedProposals++;
    }

    long highestAcknowledged() {
        return highestAcknowledged;
    }

    /** Returns the highest index known to be committed. */
    long highestCommitted() {
        return committedAt.lastEntry().getValue();
    }

    /** A confirmed read sees everything committed before it was asked for. */
    void checkRead(long appliedIndex, long committedWhenRequested) {
        check(
                appliedIndex >= committedWhenRequested,
                () -> "read at " + appliedIndex + " misses " + committedWhenRequested);
        confirmedReads++;
    }

    /** A member that reports a confirmation has applied everything that was committed before that time. */
    void checkConfirmation(MemberKey member, long confirmedAt, long appliedIndex) {
        if (confirmedAt > 0) {
            long committed = committedAt.lowerEntry(confirmedAt).getValue();
            check(
                    appliedIndex >= committed,
                    () -> member + " reports " + confirmedAt + " but misses entries from " + appliedIndex + " to "
                            + committed);
            confirmations++;
        }
    }

    private static void check(boolean condition, Supplier<String> violation) {
        if (!condition) {
            throw new AssertionError(violation.get());
        }
    }
}
