package org.wagtailcart.coordination;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Raft consensus of one member as a state machine without I/O. Each method takes the current time and returns what the
 * driver must write, send and apply. Used by one thread.
 */
final class RaftNode {
    private enum Role {
        FOLLOWER,
        CANDIDATE,
        LEADER
    }

    /**
     * Divides the election timeout of a member without leader contact since its start, so that the first election after
     * a restart of all members starts early.
     */
    private static final int INITIAL_ELECTION_TIMEOUT_DIVISOR = 4;

    private final MemberKey self;
    private final RaftTuning tuning;
    private final SplittableRandom random;
    private final NodeLog log;
    private final NodeOutputBuilder out;
    private final VoteTracker votes = new VoteTracker();
    private final Replica replica;

    private Role role = Role.FOLLOWER;
    private HardState hardState;
    private @Nullable MemberKey leader;
    private @Nullable LeaderState leaderState;
    private long leaderContactMillis;
    private long electionDeadlineMillis;
    /** Whether there was contact with a leader since the start; if not, all members may have been down together. */
    private boolean leaderContacted;

    /**
     * Creates a node from the durable state of its member.
     *
     * @param seed seed of the random election timeouts
     */
    RaftNode(
            MemberKey self,
            Address address,
            RaftTuning tuning,
            HardState hardState,
            NodeLog log,
            long seed,
            long nowMillis) {
        this.self = self;
        this.tuning = tuning;
        this.random = new SplittableRandom(seed);
        this.hardState = hardState;
        this.log = log;
        this.out = new NodeOutputBuilder(self, address, hardState);
        this.replica = new Replica(log, out, new ConfirmationTracker(random.nextLong(1, Long.MAX_VALUE), nowMillis));
        resetElectionDeadline(nowMillis);
        leaderContactMillis = nowMillis;
    }

    /** Returns whether the member has neither voted nor written an entry. */
    boolean isUninitialized() {
        return hardState.term() == 0 && log.lastIndex() == 0;
    }

    /**
     * Bootstraps the group with the given voters. To be called on one member only, when all other initial members are
     * known to be uninitialized.
     */
    NodeOutput bootstrap(long nowMillis, long wallMillis, List<Member> voters) {
        if (!isUninitialized()) {
            throw new IllegalStateException("the member has already voted or written a log entry");
        }
        hardState = new HardState(1, null);
        appendMembership(wallMillis, voters);
        // No other member has the entry, so none can be elected, and a delay before the election serves no purpose.
        electionDeadlineMillis = nowMillis;
        return takeOutput();
    }

    /** Starts an election, sends heartbeats or steps down when a timeout has expired. */
    NodeOutput tick(long nowMillis) {
        LeaderState state = leaderState;
        if (state != null) {
            if (state.hasQuorumContact(nowMillis)) {
                state.tick(nowMillis);
            } else {
                stepDown(nowMillis, ResultCode.NO_QUORUM, "the leader has no contact with a quorum");
            }
        } else if (nowMillis >= electionDeadlineMillis && Memberships.isVoter(log.membership(), self)) {
            startElection(nowMillis, true, false);
        }
        return takeOutput();
    }

    /** Handles a message; a message to another incarnation is dropped. */
    NodeOutput step(long nowMillis, RaftMessage message) {
        if (message.envelope().to().equals(self)) {
            handle(nowMillis, message);
        }
        return takeOutput();
    }

    /** Records that all storage writes up to a number are durable. */
    NodeOutput onDurable(long nowMillis, long writeNumber) {
        log.onDurable(writeNumber);
        if (role == Role.CANDIDATE && !votes.isPreVote() && votes.isSelfVoteDurable(writeNumber)) {
            votes.recordVote(self);
            becomeLeaderIfElected(nowMillis);
        }
        LeaderState state = leaderState;
        if (state != null) {
            state.advance(nowMillis);
        }
        return takeOutput();
    }

    /**
     * Appends commands to the log of the leader and replicates them.
     *
     * @throws WagtailcartException with {@link ResultCode#NOT_LEADER}
     */
    NodeOutput propose(long nowMillis, long wallMillis, List<Proposal> proposals) {
        LeaderState state = requireLeader();
        proposals.forEach(proposal -> {
            append(LogEntry.Kind.COMMAND, wallMillis, proposal.command());
            out.addEvent(new NodeEvent.Appended(proposal.id(), log.lastIndex(), hardState.term()));
        });
        state.replicate(nowMillis);
        return takeOutput();
    }

    /** Requests a read index for each read; see {@link NodeEvent.ReadConfirmed}. */
    NodeOutput requestReadIndex(long nowMillis, List<Long> readIds) {
        LeaderState state = requireLeader();
        readIds.forEach(id -> state.addRead(nowMillis, id));
        return takeOutput();
    }

    /**
     * Appends a membership change, or a no-op entry when the change has no effect.
     *
     * @throws WagtailcartException with {@link ResultCode#NOT_LEADER},
     *     {@link ResultCode#MEMBERSHIP_CHANGE_IN_PROGRESS} or {@link ResultCode#MEMBERSHIP_CHANGE_INVALID}
     */
    NodeOutput changeMembership(long nowMillis, long wallMillis, long proposalId, MembershipChange change) {
        LeaderState state = requireLeader();
        Membership current = log.membership();
        // Until an entry of this term is committed, an uncommitted change of an earlier leader may still be
        // overwritten.
        if (!state.hasCommittedInTerm() || current.index() > replica.commitIndex()) {
            throw new WagtailcartException(
                    ResultCode.MEMBERSHIP_CHANGE_IN_PROGRESS, "an earlier membership change is not committed yet");
        }
        if (MembershipRules.hasNoEffect(current, change)) {
            append(LogEntry.Kind.NOOP, wallMillis, new byte[0]);
        } else {
            OptionalLong lag = state.lagEntries(MemberKey.of(change.member()), nowMillis);
            appendMembership(wallMillis, MembershipRules.apply(current, self, change, lag));
            state.onMembershipChanged(nowMillis);
        }
        out.addEvent(new NodeEvent.Appended(proposalId, log.lastIndex(), hardState.term()));
        state.replicate(nowMillis);
        return takeOutput();
    }

    /** Returns the next automatic membership change; empty on a follower and while another change is pending. */
    Optional<MembershipChange> plannedChange(long nowMillis, Collection<Member> joiners, int toleratedLosses) {
        LeaderState state = leaderState;
        if (state == null
                || state.transferTarget() != null
                || !state.hasCommittedInTerm()
                || log.membership().index() > replica.commitIndex()) {
            return Optional.empty();
        }
        MembershipPlanner.MemberHealth health = new MembershipPlanner.MemberHealth() {
            @Override
            public boolean isCaughtUp(MemberKey member) {
                OptionalLong lag = state.lagEntries(member, nowMillis);
                return lag.isPresent() && lag.getAsLong() <= MembershipRules.MAX_PROMOTION_LAG_ENTRIES;
            }

            @Override
            public long millisSinceContact(MemberKey member) {
                return state.millisSinceContact(member, nowMillis);
            }
        };
        return MembershipPlanner.nextChange(log.membership(), self, joiners, health, toleratedLosses);
    }

    /** Returns the time since the last contact with a leader; 0 on the leader itself. */
    long millisSinceLeaderContact(long nowMillis) {
        return role == Role.LEADER ? 0 : nowMillis - leaderContactMillis;
    }

    /**
     * Starts a leadership transfer to another voter.
     *
     * @throws WagtailcartException with {@link ResultCode#NOT_LEADER}
     */
    NodeOutput transfer(long nowMillis) {
        if (!requireLeader().transfer(nowMillis)) {
            out.addEvent(new NodeEvent.TransferFailed("no other voter is reachable"));
        }
        return takeOutput();
    }

    /** Returns a snapshot at the applied index with the given state machine data. */
    Snapshot buildSnapshot(long timeMillis, byte[] data) {
        long appliedTerm = log.termAt(replica.appliedIndex()).orElseThrow();
        return new Snapshot(
                replica.appliedIndex(), appliedTerm, timeMillis, log.membershipAt(replica.appliedIndex()), data);
    }

    /** Removes entries that a durable snapshot covers, except those retained for lagging members. */
    void compact(Snapshot snapshot) {
        log.compact(snapshot, retainedBase(snapshot));
    }

    /** Returns the index before the first entry that is retained in the log after a snapshot. */
    long retainedBase(Snapshot snapshot) {
        return log.retainedBase(snapshot.index(), tuning.retainedEntries(), tuning.snapshotLogBytes() / 2);
    }

    /** Returns whether the entries since the last snapshot reach the limit in number or in bytes. */
    boolean isSnapshotDue() {
        long entries = replica.appliedIndex() - log.snapshotIndex();
        return entries >= tuning.snapshotEntries() || (entries > 0 && log.entryBytes() >= tuning.snapshotLogBytes());
    }

    RaftStatus status(Address address) {
        Membership members = log.membership();
        Member selfMember = Memberships.find(members, self)
                .orElseGet(() -> new Member(self.memberId(), self.incarnation(), address, false));
        Optional<Member> currentLeader = Optional.ofNullable(leader).flatMap(key -> Memberships.find(members, key));
        return new RaftStatus(
                selfMember,
                statusRole(),
                hardState.term(),
                currentLeader,
                replica.commitIndex(),
                replica.appliedIndex(),
                log.snapshotIndex(),
                replica.confirmedAtMillis(),
                members);
    }

    MemberKey self() {
        return self;
    }

    long appliedIndex() {
        return replica.appliedIndex();
    }

    HardState hardState() {
        return hardState;
    }

    NodeLog log() {
        return log;
    }

    private RaftStatus.Role statusRole() {
        return switch (role) {
            case LEADER -> RaftStatus.Role.LEADER;
            case CANDIDATE -> RaftStatus.Role.CANDIDATE;
            case FOLLOWER ->
                Memberships.isVoter(log.membership(), self) ? RaftStatus.Role.FOLLOWER : RaftStatus.Role.LEARNER;
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
            onReplicationReply(nowMillis, message);
        }
    }

    private void onReplicationReply(long nowMillis, RaftMessage message) {
        LeaderState state = leaderState;
        if (state == null || message.term() != hardState.term()) {
            return;
        }
        if (message instanceof RaftMessage.AppendReply reply) {
            state.onAppendReply(nowMillis, reply);
        } else if (message instanceof RaftMessage.SnapshotChunkReply reply) {
            state.onSnapshotChunkReply(nowMillis, reply);
        }
    }

    private void onVoteRequest(long nowMillis, RaftMessage.VoteRequest request) {
        boolean refused = !request.transfer() && hasLiveLeader(nowMillis);
        if (!refused && !request.preVote() && request.term() > hardState.term()) {
            becomeFollower(nowMillis, request.term(), null);
        }
        MemberKey candidate = request.envelope().from();
        boolean granted = !refused
                && log.isUpToDate(request.lastIndex(), request.lastTerm())
                && (request.preVote() ? request.term() > hardState.term() : mayVote(request.term(), candidate));
        if (granted && !request.preVote()) {
            hardState = new HardState(hardState.term(), candidate);
            resetElectionDeadline(nowMillis);
        }
        long replyTerm = granted && request.preVote() ? request.term() : hardState.term();
        out.sendAfterWrite(new RaftMessage.VoteReply(out.envelopeTo(candidate), replyTerm, request.preVote(), granted));
    }

    private boolean mayVote(long requestTerm, MemberKey candidate) {
        MemberKey vote = hardState.vote();
        return requestTerm == hardState.term() && (vote == null || vote.equals(candidate));
    }

    /**
     * Returns whether there was contact with a leader within the election timeout. Vote requests are refused then, so
     * that a member that alone has lost contact with the leader cannot disrupt the group.
     */
    private boolean hasLiveLeader(long nowMillis) {
        return role == Role.LEADER || (leader != null && nowMillis - leaderContactMillis < tuning.electionMinMillis());
    }

    private void onVoteReply(long nowMillis, RaftMessage.VoteReply reply) {
        long expectedTerm = votes.isPreVote() ? hardState.term() + 1 : hardState.term();
        if (role != Role.CANDIDATE
                || !reply.granted()
                || reply.preVote() != votes.isPreVote()
                || reply.term() != expectedTerm) {
            return;
        }
        votes.recordVote(reply.envelope().from());
        becomeLeaderIfElected(nowMillis);
    }

    private void onTimeoutNow(long nowMillis, RaftMessage message) {
        if (message.term() == hardState.term()
                && role == Role.FOLLOWER
                && Memberships.isVoter(log.membership(), self)) {
            startElection(nowMillis, false, true);
        }
    }

    private void onAppendRequest(long nowMillis, RaftMessage.AppendRequest request) {
        if (acceptLeader(nowMillis, request)) {
            replica.onAppendRequest(nowMillis, hardState.term(), request);
        } else {
            replica.reject(nowMillis, hardState.term(), request);
        }
    }

    private void onSnapshotChunk(long nowMillis, RaftMessage.SnapshotChunk chunk) {
        if (acceptLeader(nowMillis, chunk)) {
            replica.onSnapshotChunk(nowMillis, hardState.term(), chunk);
        } else {
            replica.reject(nowMillis, hardState.term(), chunk);
        }
    }

    /** Accepts the sender as leader of its term; returns false when the term is outdated. */
    private boolean acceptLeader(long nowMillis, RaftMessage message) {
        if (message.term() < hardState.term()) {
            return false;
        }
        MemberKey from = message.envelope().from();
        if (role != Role.FOLLOWER || !from.equals(leader)) {
            becomeFollower(nowMillis, message.term(), from);
        }
        leaderContactMillis = nowMillis;
        resetElectionDeadline(nowMillis);
        return true;
    }

    private void startElection(long nowMillis, boolean preVote, boolean transfer) {
        role = Role.CANDIDATE;
        leader = null;
        votes.start(preVote, transfer);
        resetElectionDeadline(nowMillis);
        if (preVote) {
            votes.recordVote(self);
        } else {
            hardState = new HardState(hardState.term() + 1, self);
            votes.recordSelfVote(out.nextWriteNumber());
            emitRoleChanged();
        }
        long electionTerm = preVote ? hardState.term() + 1 : hardState.term();
        Memberships.voters(log.membership()).stream()
                .filter(key -> !key.equals(self))
                .forEach(key -> out.sendAfterWrite(new RaftMessage.VoteRequest(
                        out.envelopeTo(key), electionTerm, log.lastIndex(), log.lastTerm(), preVote, transfer)));
        if (preVote) {
            becomeLeaderIfElected(nowMillis);
        }
    }

    private void becomeLeaderIfElected(long nowMillis) {
        if (!votes.isWon(log.membership())) {
            return;
        }
        if (votes.isPreVote()) {
            startElection(nowMillis, false, votes.isTransfer());
            return;
        }
        role = Role.LEADER;
        leader = self;
        append(LogEntry.Kind.NOOP, 0, new byte[0]);
        LeaderState state = new LeaderState(self, tuning, log, out, hardState.term(), replica.commitIndex(), nowMillis);
        leaderState = state;
        emitRoleChanged();
        state.tick(nowMillis);
    }

    private void becomeFollower(long nowMillis, long term, @Nullable MemberKey newLeader) {
        if (leaderState != null) {
            stepDown(nowMillis, ResultCode.LEADERSHIP_LOST, "another leader was elected or an election is in progress");
        }
        if (term > hardState.term()) {
            hardState = new HardState(term, null);
        }
        role = Role.FOLLOWER;
        leader = newLeader;
        leaderContacted |= newLeader != null;
        emitRoleChanged();
    }

    private void stepDown(long nowMillis, ResultCode code, String reason) {
        leaderState = null;
        role = Role.FOLLOWER;
        leader = null;
        resetElectionDeadline(nowMillis);
        out.addEvent(new NodeEvent.LeadershipEnded(code, reason));
        emitRoleChanged();
    }

    private void emitRoleChanged() {
        out.addEvent(new NodeEvent.RoleChanged(statusRole(), hardState.term()));
    }

    /**
     * Draws a new election timeout. A member that has just started uses a shorter one: if a leader exists, the other
     * members refuse its pre-votes, so an early request does no harm.
     */
    private void resetElectionDeadline(long nowMillis) {
        int divisor = leaderContacted ? 1 : INITIAL_ELECTION_TIMEOUT_DIVISOR;
        electionDeadlineMillis = nowMillis
                + random.nextLong(tuning.electionMinMillis() / divisor, tuning.electionMaxMillis() / divisor + 1);
    }

    private LeaderState requireLeader() {
        LeaderState state = leaderState;
        if (state == null || state.transferTarget() != null) {
            MemberKey redirectTarget = state == null ? leader : state.transferTarget();
            throw new WagtailcartException(ResultCode.NOT_LEADER, notLeaderMessage(redirectTarget));
        }
        return state;
    }

    private String notLeaderMessage(@Nullable MemberKey redirectTarget) {
        return Optional.ofNullable(redirectTarget)
                .flatMap(key -> Memberships.find(log.membership(), key))
                .map(member -> "member \"" + self.memberId() + "\" is not the leader; the leader is "
                        + member.memberId() + "@" + member.address())
                .orElse("member \"" + self.memberId() + "\" is not the leader; no leader is known");
    }

    private void append(LogEntry.Kind kind, long wallMillis, byte[] payload) {
        log.append(new LogEntry(log.lastIndex() + 1, hardState.term(), wallMillis, kind, payload));
    }

    private void appendMembership(long wallMillis, List<Member> members) {
        byte[] payload = Memberships.encode(new Membership(log.lastIndex() + 1, members));
        append(LogEntry.Kind.MEMBERS, wallMillis, payload);
    }

    private NodeOutput takeOutput() {
        LeaderState state = leaderState;
        if (state != null) {
            replica.advanceCommitIndex(state.commitIndex());
            state.confirmedRound().ifPresent(replica::onRoundConfirmed);
        }
        replica.apply();
        return out.takeOutput(hardState, log);
    }
}
