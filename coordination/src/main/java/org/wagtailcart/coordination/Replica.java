package org.wagtailcart.coordination;

import java.util.Optional;
import java.util.OptionalLong;

/** Copy of the log that a member keeps for the leader it follows, and how far it is committed and applied. */
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
        confirmations.receive(round);
    }

    /** Hands out committed entries. */
    void apply() {
        // An entry is applied only once it is durable here, so that a restart never goes back behind an answer.
        long applicable = Math.min(commitIndex, log.durableIndex());
        if (applicable > appliedIndex) {
            out.apply(log.between(appliedIndex + 1, applicable));
            appliedIndex = applicable;
        }
        confirmations.onApplied(appliedIndex);
    }

    /** Handles a request of the leader of the term. */
    void onAppendRequest(long nowMillis, long term, RaftMessage.AppendRequest request) {
        confirmations.receive(request.confirmation());
        if (request.previousIndex() < log.baseIndex()) {
            // Everything up to the base is committed, so the leader has it as well.
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

    /** Refuses a request of a leader whose term is over. */
    void reject(long nowMillis, long term, RaftMessage.AppendRequest request) {
        out.send(appendReply(nowMillis, term, request, false, 0));
    }

    /** Refuses a part of a snapshot of a leader whose term is over. */
    void reject(long nowMillis, long term, RaftMessage.SnapshotChunk chunk) {
        out.send(snapshotReply(nowMillis, term, chunk, false, 0));
    }

    /** Handles a part of a snapshot of the leader of the term. */
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

    /** Returns the index after which the leader should try again: before all entries of the term that conflicts. */
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
                throw new IllegalStateException("entry " + entry.index() + " would replace a committed one");
            }
            log.truncateFrom(entry.index());
        }
        log.append(entry);
    }

    /** Replies at once with what is durable, and once more when the rest is. */
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
