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

/** What a member does while it leads: replication, commitment, confirmation rounds and transfer. */
final class Leadership {
    private final MemberKey self;
    private final RaftTiming timing;
    private final NodeLog log;
    private final Outbox out;
    private final long term;
    private final long firstIndex;
    private final Map<MemberKey, Progress> others = new LinkedHashMap<>();
    private final ConfirmationRounds rounds = new ConfirmationRounds();
    private long commitIndex;
    private Optional<ConfirmationRounds.Round> confirmedRound = Optional.empty();
    private long heartbeatDueMillis;
    private @Nullable MemberKey transferTarget;
    private long transferDeadlineMillis;

    /** Starts to lead; the caller has appended the first entry of the term. */
    Leadership(
            MemberKey self, RaftTiming timing, NodeLog log, Outbox out, long term, long commitIndex, long nowMillis) {
        this.self = self;
        this.timing = timing;
        this.log = log;
        this.out = out;
        this.term = term;
        this.firstIndex = log.lastIndex();
        this.commitIndex = commitIndex;
        this.heartbeatDueMillis = nowMillis;
        membersChanged(nowMillis);
    }

    long commitIndex() {
        return commitIndex;
    }

    /** Returns whether an entry of this term is committed, so that the committed index is known to be current. */
    boolean isEstablished() {
        return commitIndex >= firstIndex;
    }

    /** Returns the latest round that a quorum has confirmed. */
    Optional<ConfirmationRounds.Round> confirmedRound() {
        return confirmedRound;
    }

    @Nullable
    MemberKey transferTarget() {
        return transferTarget;
    }

    void membersChanged(long nowMillis) {
        List<MemberKey> keys =
                log.members().members().stream().map(MemberKey::of).toList();
        others.keySet().retainAll(keys);
        keys.stream()
                .filter(key -> !key.equals(self))
                .forEach(key -> others.computeIfAbsent(key, k -> new Progress(log.lastIndex() + 1, nowMillis)));
    }

    void tick(long nowMillis) {
        if (transferTarget != null && nowMillis >= transferDeadlineMillis) {
            transferTarget = null;
            out.event(new NodeEvent.TransferFailed("the target did not take over in time"));
        }
        if (nowMillis >= heartbeatDueMillis) {
            heartbeatDueMillis = nowMillis + timing.heartbeatMillis();
            startRound(nowMillis);
            others.forEach((key, progress) -> heartbeat(nowMillis, key, progress));
            sendTimeoutNow();
        }
    }

    /** Returns whether a quorum was heard within the shortest election timeout. */
    boolean hasQuorumContact(long nowMillis) {
        return quorumValue(progress -> progress.heardMillis, nowMillis) > nowMillis - timing.electionMinMillis();
    }

    /** Returns for how long a member was not heard. */
    long silentMillis(MemberKey key, long nowMillis) {
        Progress progress = others.get(key);
        return progress == null ? 0 : nowMillis - progress.heardMillis;
    }

    /** Sends new entries to every member that can take them. */
    void replicate(long nowMillis) {
        others.forEach((key, progress) -> sendEntries(nowMillis, key, progress));
    }

    void read(long nowMillis, long readId) {
        rounds.addRead(readId);
        startReadRound(nowMillis);
    }

    void onAppendReply(long nowMillis, RaftMessage.AppendReply reply) {
        Progress progress = others.get(reply.route().from());
        if (progress == null) {
            return;
        }
        progress.heard(nowMillis, reply.round(), reply.stamp());
        if (reply.success()) {
            matched(progress, reply.matchIndex());
        } else {
            rejected(progress, reply);
        }
        sendEntries(nowMillis, reply.route().from(), progress);
        advance(nowMillis);
        sendTimeoutNow();
    }

    void onSnapshotChunkReply(long nowMillis, RaftMessage.SnapshotChunkReply reply) {
        Progress progress = others.get(reply.route().from());
        if (progress == null) {
            return;
        }
        progress.heard(nowMillis, reply.round(), reply.stamp());
        if (progress.state == Progress.State.SNAPSHOT && reply.index() == progress.snapshotIndex) {
            progress.snapshotOffset = reply.nextOffset();
            sendChunk(nowMillis, reply.route().from(), progress);
        }
        advance(nowMillis);
    }

    /** Moves the committed index and ends rounds as far as quorums allow. */
    void advance(long nowMillis) {
        long candidate = quorumValue(progress -> progress.matchIndex, log.storedIndex());
        // Only an entry of the own term is committed by counting; an older one may still be replaced by another leader.
        if (candidate > commitIndex && log.matches(candidate, term)) {
            commitIndex = candidate;
        }
        if (isEstablished()) {
            startReadRound(nowMillis);
        }
        confirmRounds();
        startReadRound(nowMillis);
    }

    /** Starts a transfer to the voter that has most of the log; returns false when there is no other voter. */
    boolean transfer(long nowMillis) {
        transferTarget = others.entrySet().stream()
                .filter(other -> MembersCodec.isVoter(log.members(), other.getKey()))
                .filter(other -> other.getValue().heardMillis > nowMillis - timing.electionMinMillis())
                .max(Map.Entry.comparingByValue(Comparator.comparingLong(progress -> progress.matchIndex)))
                .map(Map.Entry::getKey)
                .orElse(null);
        transferDeadlineMillis = nowMillis + timing.electionMaxMillis();
        sendTimeoutNow();
        return transferTarget != null;
    }

    /** Returns by how many entries a member lags, or nothing when it is unknown or not heard lately. */
    OptionalLong lagOf(MemberKey key, long nowMillis) {
        Progress progress = others.get(key);
        return progress == null || progress.heardMillis <= nowMillis - timing.electionMinMillis()
                ? OptionalLong.empty()
                : OptionalLong.of(log.lastIndex() - progress.matchIndex);
    }

    private void startReadRound(long nowMillis) {
        if (isEstablished() && rounds.shouldStartForRead()) {
            startRound(nowMillis);
            others.forEach((key, progress) -> heartbeat(nowMillis, key, progress));
            confirmRounds();
        }
    }

    private void startRound(long nowMillis) {
        if (isEstablished()) {
            Map<MemberKey, RaftMessage.Stamp> stamps = others.entrySet().stream()
                    .collect(Collectors.toMap(Map.Entry::getKey, other -> other.getValue().stamp));
            rounds.start(nowMillis, commitIndex, stamps);
        }
    }

    private void confirmRounds() {
        long number = quorumValue(progress -> progress.ackedRound, rounds.current());
        List<ConfirmationRounds.Round> ended = rounds.confirm(number);
        ended.forEach(
                round -> round.reads().forEach(id -> out.event(new NodeEvent.ReadConfirmed(id, round.commitIndex()))));
        ConfirmationRounds.last(ended).ifPresent(this::noteConfirmed);
    }

    private void noteConfirmed(ConfirmationRounds.Round round) {
        confirmedRound = Optional.of(round);
        others.forEach((key, progress) -> progress.confirmed = new RaftMessage.Confirmation(
                round.stamps().getOrDefault(key, RaftMessage.Stamp.NONE), round.commitIndex()));
    }

    /** Returns the highest value that a quorum of voters has reached. */
    private long quorumValue(ToLongFunction<Progress> value, long ownValue) {
        List<MemberKey> voters = MembersCodec.voters(log.members());
        List<Long> values = voters.stream()
                .map(key -> key.equals(self)
                        ? ownValue
                        : value.applyAsLong(Objects.requireNonNull(others.get(key), "progress")))
                .sorted(Collections.reverseOrder())
                .toList();
        return values.isEmpty() ? Long.MIN_VALUE : values.get(voters.size() / 2);
    }

    private void matched(Progress progress, long matchIndex) {
        progress.matched(Math.min(matchIndex, log.lastIndex()));
        boolean canReplicate =
                switch (progress.state) {
                    case PROBE -> true;
                    case REPLICATE -> false;
                    case SNAPSHOT -> progress.matchIndex >= log.baseIndex();
                };
        if (canReplicate) {
            progress.become(Progress.State.REPLICATE, progress.matchIndex + 1);
        }
    }

    private void rejected(Progress progress, RaftMessage.AppendReply reply) {
        boolean stale =
                switch (progress.state) {
                    case PROBE -> reply.rejectedIndex() != progress.nextIndex - 1;
                    case REPLICATE -> reply.rejectedIndex() <= progress.matchIndex;
                    case SNAPSHOT -> true;
                };
        if (!stale) {
            long retryFrom = Math.min(reply.rejectedIndex(), reply.matchIndex() + 1);
            progress.become(Progress.State.PROBE, Math.max(progress.matchIndex + 1, retryFrom));
        }
    }

    private void heartbeat(long nowMillis, MemberKey key, Progress progress) {
        progress.probeSent = false;
        if (needsSnapshot(progress)) {
            startSnapshot(nowMillis, key, progress);
        }
        switch (progress.state) {
            case PROBE -> sendEntries(nowMillis, key, progress);
            case REPLICATE -> sendAppend(nowMillis, key, progress.nextIndex - 1, List.of(), progress);
            case SNAPSHOT -> {
                if (nowMillis - progress.sentMillis >= timing.electionMinMillis()) {
                    sendChunk(nowMillis, key, progress);
                }
                // Previous index 0 matches every log; the request only carries the leader's contact.
                sendAppend(nowMillis, key, 0, List.of(), progress);
            }
        }
    }

    /** Returns whether the entry before the next one is no longer in the log. */
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
            // A member that does not answer gets no entries, so that they do not pile up on its connection.
            boolean silent = progress.heardMillis <= nowMillis - timing.electionMinMillis();
            List<LogEntry> entries = silent ? List.of() : entriesFrom(progress.nextIndex);
            sendAppend(nowMillis, key, progress.nextIndex - 1, entries, progress);
        }
        while (progress.state == Progress.State.REPLICATE
                && progress.nextIndex <= log.lastIndex()
                && progress.inFlightCount() < timing.maxInFlight()) {
            List<LogEntry> entries = entriesFrom(progress.nextIndex);
            sendAppend(nowMillis, key, progress.nextIndex - 1, entries, progress);
            progress.sent(entries.get(entries.size() - 1).index());
        }
    }

    private List<LogEntry> entriesFrom(long index) {
        return log.from(index, timing.maxAppendBytes());
    }

    private void sendAppend(
            long nowMillis, MemberKey key, long previousIndex, List<LogEntry> entries, Progress progress) {
        long previousTerm = previousIndex == 0 ? 0 : log.termAt(previousIndex).orElseThrow();
        out.send(new RaftMessage.AppendRequest(
                out.routeTo(key),
                term,
                previousIndex,
                previousTerm,
                entries,
                commitIndex,
                rounds.current(),
                progress.confirmed));
        if (progress.state != Progress.State.SNAPSHOT) {
            progress.sentMillis = nowMillis;
        }
    }

    private void startSnapshot(long nowMillis, MemberKey key, Progress progress) {
        progress.become(Progress.State.SNAPSHOT, progress.nextIndex);
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
        int to = (int) Math.min(snapshot.data().length, (long) from + timing.snapshotChunkBytes());
        progress.sentMillis = nowMillis;
        out.send(new RaftMessage.SnapshotChunk(
                out.routeTo(key),
                term,
                snapshot.index(),
                snapshot.term(),
                snapshot.timeMillis(),
                snapshot.members(),
                from,
                snapshot.data().length,
                Arrays.copyOfRange(snapshot.data(), from, to),
                rounds.current()));
    }

    private void sendTimeoutNow() {
        MemberKey target = transferTarget;
        Progress progress = target == null ? null : others.get(target);
        if (target != null && progress != null && progress.matchIndex == log.lastIndex()) {
            out.send(new RaftMessage.TimeoutNow(out.routeTo(target), term));
        }
    }
}
