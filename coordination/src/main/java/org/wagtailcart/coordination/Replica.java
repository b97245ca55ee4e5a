package org.wagtailcart.coordination;

import java.util.Optional;
import java.util.OptionalLong;

/** Follower side of replication: handles append requests and snapshots, and tracks the commit and applied index. */
final class Replica {
    private final NodeLog log;
    private final NodeOutputBuilder out;
    private final ConfirmationTracker confirmations;
    private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();
    private long commitIndex;
    private long appliedIndex;

    Replica(NodeLog log, NodeOutputBuilder out, ConfirmationTracker confirmations) {
        this.log = log;
        this.out = out;
        this.confirmations = confirmations;
        this.commitIndex = log.snapshotIndex();
        this.appliedIndex = log.snapshotIndex();
    }

    long commitIndex() {
        return commitIndex;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    long confirmedAtMillis() {
        return confirmations.confirmedAtMillis();
    }

    void advanceCommitIndex(long index) {
        commitIndex = Math.max(commitIndex, index);
    }

    void onRoundConfirmed(HeartbeatRounds.Round round) {
        confirmations.record(round);
    }

    /** Adds newly committed entries that are durable here to the output. */
    void apply() {
        // An entry is applied only once it is durable here, so that a restart cannot undo state already returned.
        long applicable = Math.min(commitIndex, log.durableIndex());
        if (applicable > appliedIndex) {
            out.apply(log.between(appliedIndex + 1, applicable));
            appliedIndex = applicable;
        }
        confirmations.onApplied(appliedIndex);
    }

    /** Handles an append request of the leader of the term. */
    void onAppendRequest(long nowMillis, long term, RaftMessage.AppendRequest request) {
        confirmations.record(request.confirmation());
        if (request.previousIndex() < log.baseIndex()) {
            // Entries up to the base are committed, so the leader has them too.
            reply(nowMillis, term, request, Math.min(commitIndex, log.durableIndex()));
            return;
        }
        if (!log.matches(request.previousIndex(), request.previousTerm())) {
            out.send(appendReply(nowMillis, term, request, false, conflictHint(request.previousIndex())));
            return;
        }
        request.entries().forEach(this::appendEntry);
        long matchIndex = request.previousIndex() + request.entries().size();
        advanceCommitIndex(Math.min(request.commitIndex(), matchIndex));
        reply(nowMillis, term, request, matchIndex);
    }

    /** Rejects an append request of a leader with an outdated term. */
    void reject(long nowMillis, long term, RaftMessage.AppendRequest request) {
        out.send(appendReply(nowMillis, term, request, false, 0));
    }

    /** Rejects a snapshot chunk of a leader with an outdated term. */
    void reject(long nowMillis, long term, RaftMessage.SnapshotChunk chunk) {
        out.send(snapshotReply(nowMillis, term, chunk, false, 0));
    }

    /** Handles a snapshot chunk of the leader of the term. */
    void onSnapshotChunk(long nowMillis, long term, RaftMessage.SnapshotChunk chunk) {
        if (chunk.index() <= commitIndex || log.matches(chunk.index(), chunk.lastTerm())) {
            advanceCommitIndex(chunk.index());
            out.send(snapshotReply(nowMillis, term, chunk, true, Math.min(chunk.index(), log.durableIndex())));
            return;
        }
        Optional<Snapshot> complete = snapshotReceiver.accept(chunk);
        if (complete.isPresent()) {
            install(complete.get());
            out.sendAfterWrite(snapshotReply(nowMillis, term, chunk, true, chunk.index()));
        } else {
            out.send(new RaftMessage.SnapshotChunkReply(
                    out.envelopeTo(chunk.envelope().from()),
                    term,
                    chunk.index(),
                    snapshotReceiver.nextOffset(),
                    chunk.round(),
                    confirmations.timestamp(nowMillis)));
        }
    }

    private void install(Snapshot snapshot) {
        log.install(snapshot);
        commitIndex = snapshot.index();
        appliedIndex = snapshot.index();
        out.restore(snapshot);
    }

    /** Returns the index after which the leader should try again, before all entries of the conflicting term. */
    private long conflictHint(long previousIndex) {
        if (previousIndex > log.lastIndex()) {
            return log.lastIndex();
        }
        OptionalLong conflicting = log.termAt(previousIndex);
        long index = previousIndex - 1;
        while (index > commitIndex && log.termAt(index).equals(conflicting)) {
            index--;
        }
        return index;
    }

    private void appendEntry(LogEntry entry) {
        if (log.matches(entry.index(), entry.term())) {
            return;
        }
        if (entry.index() <= log.lastIndex()) {
            if (entry.index() <= commitIndex) {
                throw new IllegalStateException("entry " + entry.index() + " conflicts with a committed entry");
            }
            log.truncateFrom(entry.index());
        }
        log.append(entry);
    }

    /** Replies once the match index is durable; to a heartbeat also at once, with the match index durable so far. */
    private void reply(long nowMillis, long term, RaftMessage.AppendRequest request, long matchIndex) {
        if (matchIndex > log.durableIndex()) {
            out.sendAfterWrite(appendReply(nowMillis, term, request, true, matchIndex));
        }
        if (request.entries().isEmpty() || matchIndex <= log.durableIndex()) {
            out.send(appendReply(nowMillis, term, request, true, Math.min(matchIndex, log.durableIndex())));
        }
    }

    private RaftMessage.AppendReply appendReply(
            long nowMillis, long term, RaftMessage.AppendRequest request, boolean success, long matchIndex) {
        return new RaftMessage.AppendReply(
                out.envelopeTo(request.envelope().from()),
                term,
                success,
                matchIndex,
                request.previousIndex(),
                request.round(),
                confirmations.timestamp(nowMillis));
    }

    private RaftMessage.AppendReply snapshotReply(
            long nowMillis, long term, RaftMessage.SnapshotChunk chunk, boolean success, long matchIndex) {
        return new RaftMessage.AppendReply(
                out.envelopeTo(chunk.envelope().from()),
                term,
                success,
                matchIndex,
                0,
                chunk.round(),
                confirmations.timestamp(nowMillis));
    }
}
