package org.wagtailcart.coordination;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Consensus of one member as a pure state machine: each method takes the current time and returns what the driver must
 * store, send and apply. It is used by one thread.
 */
final class RaftNode {
    private enum Role {
        FOLLOWER,
        CANDIDATE,
        LEADER
    }

    private final MemberKey self;
    private final RaftTiming timing;
    private final SplittableRandom random;
    private final NodeLog log;
    private final Outbox out;
    private final Elections elections = new Elections();
    private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();
    private final Confirmations confirmations;

    private Role role = Role.FOLLOWER;
    private HardState hardState;
    private @Nullable MemberKey leader;
    private @Nullable Leadership leadership;
    private long commitIndex;
    private long appliedIndex;
    private long leaderHeardMillis;
    private long electionDeadlineMillis;

    /**
     * Creates a member in the state it had stored.
     *
     * @param seed seed of the election timeouts
     */
    RaftNode(
            MemberKey self,
            Address address,
            RaftTiming timing,
            HardState hardState,
            NodeLog log,
            long seed,
            long nowMillis) {
        this.self = self;
        this.timing = timing;
        this.random = new SplittableRandom(seed);
        this.hardState = hardState;
        this.log = log;
        this.out = new Outbox(self, address, hardState);
        this.confirmations = new Confirmations(nowMillis);
        this.commitIndex = log.snapshotIndex();
        this.appliedIndex = log.snapshotIndex();
        resetElectionDeadline(nowMillis);
    }

    /** Returns whether the member has never voted nor stored an entry. */
    boolean isBlank() {
        return hardState.term() == 0 && log.lastIndex() == 0;
    }

    /** Founds the group with the given voters; only on one blank member, when all others are known to be blank. */
    NodeOutput found(long nowMillis, long wallMillis, List<Member> voters) {
        if (!isBlank()) {
            throw new IllegalStateException("member is not blank");
        }
        hardState = new HardState(1, null);
        appendMembers(wallMillis, voters);
        return finish(nowMillis);
    }

    /** Handles the passing of time. */
    NodeOutput tick(long nowMillis) {
        Leadership leading = leadership;
        if (leading != null) {
            if (leading.hasQuorumContact(nowMillis)) {
                leading.tick(nowMillis);
            } else {
                stepDown(nowMillis, ResultCode.NO_QUORUM, "the leader has no contact with a quorum");
            }
        } else if (nowMillis >= electionDeadlineMillis && MembersCodec.isVoter(log.members(), self)) {
            startElection(nowMillis, true, false);
        }
        return finish(nowMillis);
    }

    /** Handles a message; one that is addressed to another incarnation has no effect. */
    NodeOutput step(long nowMillis, RaftMessage message) {
        if (message.route().to().equals(self)) {
            handle(nowMillis, message);
        }
        return finish(nowMillis);
    }

    /** Notes that all stores up to a number are durable. */
    NodeOutput stored(long nowMillis, long storeNumber) {
        log.stored(storeNumber);
        if (role == Role.CANDIDATE && !elections.isPreVote() && elections.isSelfVoteDurable(storeNumber)) {
            elections.grant(self);
            becomeLeaderIfElected(nowMillis);
        }
        Leadership leading = leadership;
        if (leading != null) {
            leading.advance(nowMillis);
        }
        return finish(nowMillis);
    }

    /**
     * Appends commands.
     *
     * @throws WagtailcartException with {@link ResultCode#NOT_LEADER}
     */
    NodeOutput propose(long nowMillis, long wallMillis, List<Proposal> proposals) {
        Leadership leading = requireLeadership();
        proposals.forEach(proposal -> {
            append(LogEntry.Kind.COMMAND, wallMillis, proposal.command());
            out.event(new NodeEvent.Appended(proposal.id(), log.lastIndex(), hardState.term()));
        });
        leading.replicate(nowMillis);
        return finish(nowMillis);
    }

    /** Asks for confirmations of leadership; see {@link NodeEvent.ReadConfirmed}. */
    NodeOutput read(long nowMillis, List<Long> readIds) {
        Leadership leading = requireLeadership();
        readIds.forEach(id -> leading.read(nowMillis, id));
        return finish(nowMillis);
    }

    /**
     * Appends a membership change.
     *
     * @throws WagtailcartException with {@link ResultCode#NOT_LEADER},
     *     {@link ResultCode#MEMBERSHIP_CHANGE_IN_PROGRESS} or {@link ResultCode#MEMBERSHIP_CHANGE_INVALID}
     */
    NodeOutput changeMembers(long nowMillis, long wallMillis, long proposalId, MemberChange change) {
        Leadership leading = requireLeadership();
        Members current = log.members();
        // Before an entry of this term is committed, an earlier change by another leader may still be undone.
        if (!leading.isEstablished() || current.index() > commitIndex) {
            throw new WagtailcartException(
                    ResultCode.MEMBERSHIP_CHANGE_IN_PROGRESS, "an earlier membership change is not committed yet");
        }
        if (MembershipRules.isDone(current, change)) {
            append(LogEntry.Kind.NOOP, wallMillis, new byte[0]);
        } else {
            OptionalLong lag = leading.lagOf(MemberKey.of(change.member()), nowMillis);
            appendMembers(wallMillis, MembershipRules.apply(current, self, change, lag));
            leading.membersChanged(nowMillis);
        }
        out.event(new NodeEvent.Appended(proposalId, log.lastIndex(), hardState.term()));
        leading.replicate(nowMillis);
        return finish(nowMillis);
    }

    /**
     * Starts to hand leadership over.
     *
     * @throws WagtailcartException with {@link ResultCode#NOT_LEADER}
     */
    NodeOutput transfer(long nowMillis) {
        if (!requireLeadership().transfer(nowMillis)) {
            out.event(new NodeEvent.TransferFailed("no other voter is in contact"));
        }
        return finish(nowMillis);
    }

    /** Describes a snapshot of everything applied so far. */
    Snapshot describeSnapshot(long timeMillis, byte[] data) {
        long appliedTerm = log.termAt(appliedIndex).orElseThrow();
        return new Snapshot(appliedIndex, appliedTerm, timeMillis, log.membersAt(appliedIndex), data);
    }

    /** Drops entries that a durable snapshot covers. */
    void compact(Snapshot snapshot) {
        log.compact(snapshot, retainedBase(snapshot));
    }

    /** Returns the index before the first entry that stays in the log after a snapshot. */
    long retainedBase(Snapshot snapshot) {
        return log.retainedBase(snapshot.index(), timing.retainedEntries(), timing.snapshotLogBytes() / 2);
    }

    /** Returns whether enough entries were applied since the last snapshot. */
    boolean isSnapshotDue() {
        long entries = appliedIndex - log.snapshotIndex();
        return entries >= timing.snapshotEntries() || (entries > 0 && log.entryBytes() >= timing.snapshotLogBytes());
    }

    LogStatus status(Address address) {
        Members members = log.members();
        Member me = MembersCodec.find(members, self)
                .orElseGet(() -> new Member(self.memberId(), self.incarnation(), address, false));
        Optional<Member> known = Optional.ofNullable(leader).flatMap(key -> MembersCodec.find(members, key));
        long confirmedAt = confirmations.confirmedAtMillis();
        return new LogStatus(
                me,
                statusRole(),
                hardState.term(),
                known,
                commitIndex,
                appliedIndex,
                log.snapshotIndex(),
                confirmedAt,
                members);
    }

    MemberKey self() {
        return self;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    HardState hardState() {
        return hardState;
    }

    NodeLog log() {
        return log;
    }

    private LogStatus.Role statusRole() {
        return switch (role) {
            case LEADER -> LogStatus.Role.LEADER;
            case CANDIDATE -> LogStatus.Role.CANDIDATE;
            case FOLLOWER ->
                MembersCodec.isVoter(log.members(), self) ? LogStatus.Role.FOLLOWER : LogStatus.Role.LEARNER;
        };
    }

    private void handle(long nowMillis, RaftMessage message) {
        if (message instanceof RaftMessage.VoteRequest request) {
            onVoteRequest(nowMillis, request);
            return;
        }
        boolean grantedPreVote = message instanceof RaftMessage.VoteReply reply && reply.preVote() && reply.granted();
        if (message.term() > hardState.term() && !grantedPreVote) {
            becomeFollower(nowMillis, message.term(), null);
        }
        if (message instanceof RaftMessage.VoteReply reply) {
            onVoteReply(nowMillis, reply);
        } else if (message instanceof RaftMessage.AppendRequest request) {
            onAppendRequest(nowMillis, request);
        } else if (message instanceof RaftMessage.SnapshotChunk chunk) {
            onSnapshotChunk(nowMillis, chunk);
        } else if (message instanceof RaftMessage.TimeoutNow) {
            onTimeoutNow(nowMillis, message);
        } else {
            onLeaderReply(nowMillis, message);
        }
    }

    private void onLeaderReply(long nowMillis, RaftMessage message) {
        Leadership leading = leadership;
        if (leading == null || message.term() != hardState.term()) {
            return;
        }
        if (message instanceof RaftMessage.AppendReply reply) {
            leading.onAppendReply(nowMillis, reply);
        } else if (message instanceof RaftMessage.SnapshotChunkReply reply) {
            leading.onSnapshotChunkReply(nowMillis, reply);
        }
    }

    private void onVoteRequest(long nowMillis, RaftMessage.VoteRequest request) {
        boolean refused = !request.transfer() && hasLiveLeader(nowMillis);
        if (!refused && !request.preVote() && request.term() > hardState.term()) {
            becomeFollower(nowMillis, request.term(), null);
        }
        MemberKey candidate = request.route().from();
        boolean granted = !refused
                && log.isUpToDate(request.lastIndex(), request.lastTerm())
                && (request.preVote() ? request.term() > hardState.term() : mayVote(request.term(), candidate));
        if (granted && !request.preVote()) {
            hardState = new HardState(hardState.term(), candidate);
            resetElectionDeadline(nowMillis);
        }
        long replyTerm = granted && request.preVote() ? request.term() : hardState.term();
        out.sendAfterStore(new RaftMessage.VoteReply(out.routeTo(candidate), replyTerm, request.preVote(), granted));
    }

    private boolean mayVote(long requestTerm, MemberKey candidate) {
        MemberKey vote = hardState.vote();
        return requestTerm == hardState.term() && (vote == null || vote.equals(candidate));
    }

    /** Returns whether a leader was heard lately; then a member that lost contact alone cannot disturb the group. */
    private boolean hasLiveLeader(long nowMillis) {
        return role == Role.LEADER || (leader != null && nowMillis - leaderHeardMillis < timing.electionMinMillis());
    }

    private void onVoteReply(long nowMillis, RaftMessage.VoteReply reply) {
        long expectedTerm = elections.isPreVote() ? hardState.term() + 1 : hardState.term();
        if (role != Role.CANDIDATE
                || !reply.granted()
                || reply.preVote() != elections.isPreVote()
                || reply.term() != expectedTerm) {
            return;
        }
        elections.grant(reply.route().from());
        becomeLeaderIfElected(nowMillis);
    }

    private void onTimeoutNow(long nowMillis, RaftMessage message) {
        if (message.term() == hardState.term() && role == Role.FOLLOWER && MembersCodec.isVoter(log.members(), self)) {
            startElection(nowMillis, false, true);
        }
    }

    private void onAppendRequest(long nowMillis, RaftMessage.AppendRequest request) {
        if (!followLeader(nowMillis, request)) {
            rejectAppend(nowMillis, request, 0);
            return;
        }
        confirmations.receive(nowMillis, request.confirmed());
        if (request.previousIndex() < commitIndex && request.previousIndex() < log.baseIndex()) {
            replyMatch(nowMillis, request, Math.min(commitIndex, log.storedIndex()));
            return;
        }
        if (!log.matches(request.previousIndex(), request.previousTerm())) {
            rejectAppend(nowMillis, request, retryIndex(request.previousIndex()));
            return;
        }
        request.entries().forEach(this::store);
        long matchIndex = request.previousIndex() + request.entries().size();
        commitIndex = Math.max(commitIndex, Math.min(request.commitIndex(), matchIndex));
        replyMatch(nowMillis, request, matchIndex);
    }

    /** Returns the index from which the leader should try again: before all entries of the term that conflicts. */
    private long retryIndex(long previousIndex) {
        if (previousIndex > log.lastIndex()) {
            return log.lastIndex();
        }
        long index = previousIndex - 1;
        OptionalLong conflicting = log.termAt(previousIndex);
        while (index > commitIndex && log.termAt(index).equals(conflicting)) {
            index--;
        }
        return index;
    }

    private void store(LogEntry entry) {
        if (entry.index() <= log.baseIndex() || log.matches(entry.index(), entry.term())) {
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

    private void replyMatch(long nowMillis, RaftMessage.AppendRequest request, long matchIndex) {
        if (matchIndex > log.storedIndex()) {
            out.sendAfterStore(appendReply(nowMillis, request, true, matchIndex));
        }
        if (request.entries().isEmpty() || matchIndex <= log.storedIndex()) {
            out.send(appendReply(nowMillis, request, true, Math.min(matchIndex, log.storedIndex())));
        }
    }

    private void rejectAppend(long nowMillis, RaftMessage.AppendRequest request, long retryIndex) {
        out.send(appendReply(nowMillis, request, false, retryIndex));
    }

    private RaftMessage.AppendReply appendReply(
            long nowMillis, RaftMessage.AppendRequest request, boolean success, long matchIndex) {
        return new RaftMessage.AppendReply(
                out.routeTo(request.route().from()),
                hardState.term(),
                success,
                matchIndex,
                request.previousIndex(),
                request.round(),
                nowMillis);
    }

    private void onSnapshotChunk(long nowMillis, RaftMessage.SnapshotChunk chunk) {
        MemberKey from = chunk.route().from();
        if (!followLeader(nowMillis, chunk)) {
            out.send(snapshotReply(nowMillis, chunk, false, 0));
        } else if (chunk.index() <= commitIndex || log.matches(chunk.index(), chunk.lastTerm())) {
            commitIndex = Math.max(commitIndex, chunk.index());
            out.sendAfterStore(snapshotReply(nowMillis, chunk, true, Math.min(chunk.index(), log.storedIndex())));
        } else {
            Optional<Snapshot> complete = snapshotReceiver.accept(chunk);
            complete.ifPresentOrElse(
                    snapshot -> {
                        install(snapshot);
                        out.sendAfterStore(snapshotReply(nowMillis, chunk, true, snapshot.index()));
                    },
                    () -> out.send(new RaftMessage.SnapshotChunkReply(
                            out.routeTo(from),
                            hardState.term(),
                            chunk.index(),
                            snapshotReceiver.nextOffset(),
                            chunk.round(),
                            nowMillis)));
        }
    }

    private RaftMessage.AppendReply snapshotReply(
            long nowMillis, RaftMessage.SnapshotChunk chunk, boolean success, long matchIndex) {
        return new RaftMessage.AppendReply(
                out.routeTo(chunk.route().from()), hardState.term(), success, matchIndex, 0, chunk.round(), nowMillis);
    }

    private void install(Snapshot snapshot) {
        log.install(snapshot);
        commitIndex = snapshot.index();
        appliedIndex = snapshot.index();
        out.restore(snapshot);
    }

    /** Accepts the sender as leader of the term; returns false when its term is over. */
    private boolean followLeader(long nowMillis, RaftMessage message) {
        if (message.term() < hardState.term()) {
            return false;
        }
        MemberKey from = message.route().from();
        if (role != Role.FOLLOWER || !from.equals(leader)) {
            becomeFollower(nowMillis, message.term(), from);
        }
        leaderHeardMillis = nowMillis;
        resetElectionDeadline(nowMillis);
        return true;
    }

    private void startElection(long nowMillis, boolean preVote, boolean transfer) {
        role = Role.CANDIDATE;
        leader = null;
        elections.start(preVote, transfer);
        resetElectionDeadline(nowMillis);
        if (preVote) {
            elections.grant(self);
        } else {
            hardState = new HardState(hardState.term() + 1, self);
            elections.selfVoteIn(out.nextStoreNumber());
            announceRole();
        }
        long electionTerm = preVote ? hardState.term() + 1 : hardState.term();
        MembersCodec.voters(log.members()).stream()
                .filter(key -> !key.equals(self))
                .forEach(key -> out.sendAfterStore(new RaftMessage.VoteRequest(
                        out.routeTo(key), electionTerm, log.lastIndex(), log.lastTerm(), preVote, transfer)));
        if (preVote) {
            becomeLeaderIfElected(nowMillis);
        }
    }

    private void becomeLeaderIfElected(long nowMillis) {
        if (!elections.isWon(log.members())) {
            return;
        }
        if (elections.isPreVote()) {
            startElection(nowMillis, false, elections.isTransfer());
            return;
        }
        role = Role.LEADER;
        leader = self;
        append(LogEntry.Kind.NOOP, 0, new byte[0]);
        Leadership leading = new Leadership(self, timing, log, out, hardState.term(), commitIndex, nowMillis);
        leadership = leading;
        announceRole();
        leading.tick(nowMillis);
    }

    private void becomeFollower(long nowMillis, long term, @Nullable MemberKey newLeader) {
        if (leadership != null) {
            stepDown(nowMillis, ResultCode.LEADERSHIP_LOST, "another leader was elected or an election runs");
        }
        if (term > hardState.term()) {
            hardState = new HardState(term, null);
        }
        role = Role.FOLLOWER;
        leader = newLeader;
        announceRole();
    }

    private void stepDown(long nowMillis, ResultCode code, String reason) {
        leadership = null;
        role = Role.FOLLOWER;
        leader = null;
        resetElectionDeadline(nowMillis);
        out.event(new NodeEvent.LeadershipEnded(code, reason));
        announceRole();
    }

    private void announceRole() {
        out.event(new NodeEvent.RoleChanged(statusRole(), hardState.term()));
    }

    private void resetElectionDeadline(long nowMillis) {
        electionDeadlineMillis =
                nowMillis + random.nextLong(timing.electionMinMillis(), timing.electionMaxMillis() + 1);
    }

    private Leadership requireLeadership() {
        Leadership leading = leadership;
        if (leading == null || leading.transferTarget() != null) {
            MemberKey known = leading == null ? leader : leading.transferTarget();
            throw new WagtailcartException(ResultCode.NOT_LEADER, notLeaderText(known));
        }
        return leading;
    }

    private String notLeaderText(@Nullable MemberKey known) {
        return Optional.ofNullable(known)
                .flatMap(key -> MembersCodec.find(log.members(), key))
                .map(member -> "member \"" + self.memberId() + "\" is not the leader; the leader is "
                        + member.memberId() + "@" + member.address())
                .orElse("member \"" + self.memberId() + "\" is not the leader; no leader is known");
    }

    private void append(LogEntry.Kind kind, long wallMillis, byte[] payload) {
        log.append(new LogEntry(log.lastIndex() + 1, hardState.term(), wallMillis, kind, payload));
    }

    private void appendMembers(long wallMillis, List<Member> members) {
        byte[] payload = MembersCodec.encode(new Members(log.lastIndex() + 1, members));
        append(LogEntry.Kind.MEMBERS, wallMillis, payload);
    }

    private NodeOutput finish(long nowMillis) {
        Leadership leading = leadership;
        if (leading != null) {
            commitIndex = Math.max(commitIndex, leading.commitIndex());
            confirmations.receive(nowMillis, leading.confirmed());
        }
        // An entry is applied only once it is durable here, so that a restart never goes back behind an answer.
        long applicable = Math.min(commitIndex, log.storedIndex());
        if (applicable > appliedIndex) {
            out.apply(log.between(appliedIndex + 1, applicable));
            appliedIndex = applicable;
        }
        confirmations.applied(appliedIndex);
        return out.take(Objects.requireNonNull(hardState), log);
    }
}
