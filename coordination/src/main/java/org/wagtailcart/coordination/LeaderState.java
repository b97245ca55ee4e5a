package org.wagtailcart.coordination;

import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** State of the leader in one term: replication progress, commit index, heartbeat rounds and leadership transfer. */
final class LeaderState {
    private final MemberKey self;
    private final RaftTuning tuning;
    private final NodeLog log;
    private final NodeOutputBuilder out;
    private final long term;
    private final long termFirstIndex;
    private final Map<MemberKey, Progress> progressByMember = new LinkedHashMap<>();
    private final HeartbeatRounds rounds = new HeartbeatRounds();
    private long commitIndex;
    private Optional<HeartbeatRounds.Round> confirmedRound = Optional.empty();
    private long heartbeatDueMillis;
    private @Nullable MemberKey transferTarget;
    private long transferDeadlineMillis;

    /** Creates the state for a new term; the caller has appended the first entry of the term. */
    LeaderState(
            MemberKey self,
            RaftTuning tuning,
            NodeLog log,
            NodeOutputBuilder out,
            long term,
            long commitIndex,
            long nowMillis) {
        this.self = self;
        this.tuning = tuning;
        this.log = log;
        this.out = out;
        this.term = term;
        this.termFirstIndex = log.lastIndex();
        this.commitIndex = commitIndex;
        this.heartbeatDueMillis = nowMillis;
        onMembershipChanged(nowMillis);
    }

    long commitIndex() {
        return commitIndex;
    }

    /**
     * Returns whether an entry of this term is committed. Before that, entries of earlier terms may be committed beyond
     * the commit index of this member.
     */
    boolean hasCommittedInTerm() {
        return commitIndex >= termFirstIndex;
    }

    /** Returns the latest heartbeat round that a quorum has acknowledged. */
    Optional<HeartbeatRounds.Round> confirmedRound() {
        return confirmedRound;
    }

    @Nullable
    MemberKey transferTarget() {
        return transferTarget;
    }

    void onMembershipChanged(long nowMillis) {
        List<MemberKey> keys =
                log.membership().members().stream().map(MemberKey::of).toList();
        progressByMember.keySet().retainAll(keys);
        keys.stream()
                .filter(key -> !key.equals(self))
                .forEach(key ->
                        progressByMember.computeIfAbsent(key, k -> new Progress(log.lastIndex() + 1, nowMillis)));
    }

    void tick(long nowMillis) {
        if (transferTarget != null && nowMillis >= transferDeadlineMillis) {
            transferTarget = null;
            out.addEvent(new NodeEvent.TransferFailed("the target was not elected in time"));
        }
        if (nowMillis >= heartbeatDueMillis) {
            heartbeatDueMillis = nowMillis + tuning.heartbeatMillis();
            startRound(nowMillis);
            progressByMember.forEach((key, progress) -> sendHeartbeat(nowMillis, key, progress));
            sendTimeoutNow();
        }
    }

    /** Returns whether there was contact with a quorum within the shortest election timeout. */
    boolean hasQuorumContact(long nowMillis) {
        return quorumValue(progress -> progress.contactMillis, nowMillis) > nowMillis - tuning.electionMinMillis();
    }

    /** Returns the time since the last contact with a member; 0 for an unknown member. */
    long millisSinceContact(MemberKey key, long nowMillis) {
        Progress progress = progressByMember.get(key);
        return progress == null ? 0 : nowMillis - progress.contactMillis;
    }

    /** Sends new entries to every member below its limit of requests in flight. */
    void replicate(long nowMillis) {
        progressByMember.forEach((key, progress) -> sendEntries(nowMillis, key, progress));
    }

    void addRead(long nowMillis, long readId) {
        rounds.addRead(readId);
        startReadRound(nowMillis);
    }

    void onAppendReply(long nowMillis, RaftMessage.AppendReply reply) {
        Progress progress = progressByMember.get(reply.envelope().from());
        if (progress == null) {
            return;
        }
        progress.recordContact(nowMillis, reply.round(), reply.timestamp());
        if (reply.success()) {
            onMatched(progress, reply.matchIndex());
        } else {
            onRejected(progress, reply);
        }
        sendEntries(nowMillis, reply.envelope().from(), progress);
        advance(nowMillis);
        sendTimeoutNow();
    }

    void onSnapshotChunkReply(long nowMillis, RaftMessage.SnapshotChunkReply reply) {
        Progress progress = progressByMember.get(reply.envelope().from());
        if (progress == null) {
            return;
        }
        progress.recordContact(nowMillis, reply.round(), reply.timestamp());
        if (progress.state == Progress.State.SNAPSHOT && reply.index() == progress.snapshotIndex) {
            progress.snapshotOffset = reply.nextOffset();
            sendChunk(nowMillis, reply.envelope().from(), progress);
        }
        advance(nowMillis);
    }

    /** Advances the commit index and confirms rounds as far as quorums allow. */
    void advance(long nowMillis) {
        long candidate = quorumValue(progress -> progress.matchIndex, log.durableIndex());
        // Only entries of the current term are committed by counting replicas; an older entry that a quorum has may
        // still be overwritten by another leader.
        if (candidate > commitIndex && log.matches(candidate, term)) {
            commitIndex = candidate;
        }
        if (hasCommittedInTerm()) {
            startReadRound(nowMillis);
        }
        confirmRounds();
        startReadRound(nowMillis);
    }

    /** Starts a transfer to the reachable voter with the highest match index; returns false when there is none. */
    boolean transfer(long nowMillis) {
        transferTarget = progressByMember.entrySet().stream()
                .filter(other -> Memberships.isVoter(log.membership(), other.getKey()))
                .filter(other -> other.getValue().contactMillis > nowMillis - tuning.electionMinMillis())
                .max(Map.Entry.comparingByValue(Comparator.comparingLong(progress -> progress.matchIndex)))
                .map(Map.Entry::getKey)
                .orElse(null);
        transferDeadlineMillis = nowMillis + tuning.electionMaxMillis();
        sendTimeoutNow();
        return transferTarget != null;
    }

    /** Returns by how many entries a member lags; empty when it is unknown or was not in contact recently. */
    OptionalLong lagEntries(MemberKey key, long nowMillis) {
        Progress progress = progressByMember.get(key);
        return progress == null || progress.contactMillis <= nowMillis - tuning.electionMinMillis()
                ? OptionalLong.empty()
                : OptionalLong.of(log.lastIndex() - progress.matchIndex);
    }

    private void startReadRound(long nowMillis) {
        if (hasCommittedInTerm() && rounds.shouldStartForRead()) {
            startRound(nowMillis);
            progressByMember.forEach((key, progress) -> sendHeartbeat(nowMillis, key, progress));
            confirmRounds();
        }
    }

    private void startRound(long nowMillis) {
        if (hasCommittedInTerm()) {
            Map<MemberKey, RaftMessage.LocalTimestamp> timestamps = progressByMember.entrySet().stream()
                    .collect(Collectors.toMap(Map.Entry::getKey, other -> other.getValue().timestamp));
            rounds.start(nowMillis, commitIndex, timestamps);
        }
    }

    private void confirmRounds() {
        long confirmedNumber = quorumValue(progress -> progress.ackedRound, rounds.currentNumber());
        List<HeartbeatRounds.Round> ended = rounds.confirm(confirmedNumber);
        ended.forEach(round ->
                round.reads().forEach(id -> out.addEvent(new NodeEvent.ReadConfirmed(id, round.commitIndex()))));
        HeartbeatRounds.last(ended).ifPresent(this::recordConfirmed);
    }

    private void recordConfirmed(HeartbeatRounds.Round round) {
        confirmedRound = Optional.of(round);
        progressByMember.forEach((key, progress) -> progress.confirmation = new RaftMessage.Confirmation(
                round.timestamps().getOrDefault(key, RaftMessage.LocalTimestamp.NONE), round.commitIndex()));
    }

    /** Returns the highest value that a quorum of voters has reached; {@code ownValue} is that of this member. */
    private long quorumValue(ToLongFunction<Progress> value, long ownValue) {
        List<MemberKey> voters = Memberships.voters(log.membership());
        List<Long> values = voters.stream()
                .map(key -> key.equals(self)
                        ? ownValue
                        : value.applyAsLong(Objects.requireNonNull(progressByMember.get(key), "progress")))
                .sorted(Collections.reverseOrder())
                .toList();
        return values.isEmpty() ? Long.MIN_VALUE : values.get(voters.size() / 2);
    }

    private void onMatched(Progress progress, long matchIndex) {
        progress.recordMatch(Math.min(matchIndex, log.lastIndex()));
        boolean canReplicate =
                switch (progress.state) {
                    case PROBE -> true;
                    case REPLICATE -> false;
                    case SNAPSHOT -> progress.matchIndex >= log.baseIndex();
                };
        if (canReplicate) {
            progress.transitionTo(Progress.State.REPLICATE, progress.matchIndex + 1);
        }
    }

    private void onRejected(Progress progress, RaftMessage.AppendReply reply) {
        boolean stale =
                switch (progress.state) {
                    case PROBE -> reply.rejectedIndex() != progress.nextIndex - 1;
                    case REPLICATE -> reply.rejectedIndex() <= progress.matchIndex;
                    case SNAPSHOT -> true;
                };
        if (!stale) {
            long retryFrom = Math.min(reply.rejectedIndex(), reply.matchIndex() + 1);
            progress.transitionTo(Progress.State.PROBE, Math.max(progress.matchIndex + 1, retryFrom));
        }
    }

    private void sendHeartbeat(long nowMillis, MemberKey key, Progress progress) {
        progress.probeSent = false;
        if (needsSnapshot(progress)) {
            startSnapshot(nowMillis, key, progress);
        }
        switch (progress.state) {
            case PROBE -> sendEntries(nowMillis, key, progress);
            case REPLICATE -> sendAppend(nowMillis, key, progress.nextIndex - 1, List.of(), progress);
            case SNAPSHOT -> {
                if (nowMillis - progress.sentMillis >= tuning.electionMinMillis()) {
                    sendChunk(nowMillis, key, progress);
                }
                // Previous index 0 matches every log; this request serves as a heartbeat only.
                sendAppend(nowMillis, key, 0, List.of(), progress);
            }
        }
    }

    /** Returns whether the next entry for the member is no longer in the log. */
    private boolean needsSnapshot(Progress progress) {
        return progress.state != Progress.State.SNAPSHOT && progress.nextIndex <= log.baseIndex();
    }

    private void sendEntries(long nowMillis, MemberKey key, Progress progress) {
        if (needsSnapshot(progress)) {
            startSnapshot(nowMillis, key, progress);
            return;
        }
        if (progress.state == Progress.State.PROBE && !progress.probeSent) {
            progress.probeSent = true;
            // An unreachable member is sent no entries, so that they do not queue up on its connection.
            boolean unreachable = progress.contactMillis <= nowMillis - tuning.electionMinMillis();
            List<LogEntry> entries = unreachable ? List.of() : entriesFrom(progress.nextIndex);
            sendAppend(nowMillis, key, progress.nextIndex - 1, entries, progress);
        }
        while (progress.state == Progress.State.REPLICATE
                && progress.nextIndex <= log.lastIndex()
                && progress.inFlightCount() < tuning.maxInFlight()) {
            List<LogEntry> entries = entriesFrom(progress.nextIndex);
            sendAppend(nowMillis, key, progress.nextIndex - 1, entries, progress);
            progress.recordSent(entries.get(entries.size() - 1).index());
        }
    }

    private List<LogEntry> entriesFrom(long index) {
        return log.from(index, tuning.maxAppendBytes());
    }

    private void sendAppend(
            long nowMillis, MemberKey key, long previousIndex, List<LogEntry> entries, Progress progress) {
        long previousTerm = previousIndex == 0 ? 0 : log.termAt(previousIndex).orElseThrow();
        out.send(new RaftMessage.AppendRequest(
                out.envelopeTo(key),
                term,
                previousIndex,
                previousTerm,
                entries,
                commitIndex,
                rounds.currentNumber(),
                progress.confirmation));
        if (progress.state != Progress.State.SNAPSHOT) {
            progress.sentMillis = nowMillis;
        }
    }

    private void startSnapshot(long nowMillis, MemberKey key, Progress progress) {
        progress.transitionTo(Progress.State.SNAPSHOT, progress.nextIndex);
        progress.snapshotIndex = log.snapshotIndex();
        progress.snapshotOffset = 0;
        sendChunk(nowMillis, key, progress);
    }

    private void sendChunk(long nowMillis, MemberKey key, Progress progress) {
        Snapshot snapshot = Objects.requireNonNull(log.snapshot(), "snapshot");
        if (snapshot.index() != progress.snapshotIndex || progress.snapshotOffset > snapshot.data().length) {
            progress.snapshotIndex = snapshot.index();
            progress.snapshotOffset = 0;
        }
        int from = progress.snapshotOffset;
        int to = (int) Math.min(snapshot.data().length, (long) from + tuning.snapshotChunkBytes());
        progress.sentMillis = nowMillis;
        out.send(new RaftMessage.SnapshotChunk(
                out.envelopeTo(key),
                term,
                snapshot.index(),
                snapshot.term(),
                snapshot.timeMillis(),
                snapshot.members(),
                from,
                snapshot.data().length,
                Arrays.copyOfRange(snapshot.data(), from, to),
                rounds.currentNumber()));
    }

    private void sendTimeoutNow() {
        MemberKey target = transferTarget;
        Progress progress = target == null ? null : progressByMember.get(target);
        if (target != null && progress != null && progress.matchIndex == log.lastIndex()) {
            out.send(new RaftMessage.TimeoutNow(out.envelopeTo(target), term));
        }
    }
}
