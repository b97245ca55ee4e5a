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
 * Consensus of one member as a pure state machine: each method takes the current time and returns what the driver must
 * store, send and apply. It is used by one thread.
 */
final class RaftNode {
    private enum Role {
        FOLLOWER,
        CANDIDATE,
        LEADER
    }

    /** Part of the usual time that a member waits which has not met any leader since it started. */
    private static final int START_WAIT_DIVISOR = 4;

    private final MemberKey self;
    private final RaftTiming timing;
    private final SplittableRandom random;
    private final NodeLog log;
    private final Outbox out;
    private final Elections elections = new Elections();
    private final Replica replica;

    private Role role = Role.FOLLOWER;
    private HardState hardState;
    private @Nullable MemberKey leader;
    private @Nullable Leadership leadership;
    private long leaderHeardMillis;
    private long electionDeadlineMillis;
    /** Whether a leader was met since the start. Before that, all members may have been down together. */
    private boolean leaderMet;

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
        this.replica = new Replica(log, out, new Confirmations(random.nextLong(1, Long.MAX_VALUE), nowMillis));
        resetElectionDeadline(nowMillis);
        leaderHeardMillis = nowMillis;
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
        // The founder alone has the entry, so no other can be elected; waiting would only delay the group.
        electionDeadlineMillis = nowMillis;
        return finish();
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
        return finish();
    }

    /** Handles a message; one that is addressed to another incarnation has no effect. */
    NodeOutput step(long nowMillis, RaftMessage message) {
        if (message.route().to().equals(self)) {
            handle(nowMillis, message);
        }
        return finish();
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
        return finish();
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
        return finish();
    }

    /** Asks for confirmations of leadership; see {@link NodeEvent.ReadConfirmed}. */
    NodeOutput read(long nowMillis, List<Long> readIds) {
        Leadership leading = requireLeadership();
        readIds.forEach(id -> leading.read(nowMillis, id));
        return finish();
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
        if (!leading.isEstablished() || current.index() > replica.commitIndex()) {
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
        return finish();
    }

    /** Returns the membership change that a leader should make by itself now. */
    Optional<MemberChange> plannedChange(long nowMillis, Collection<Member> joiners) {
        Leadership leading = leadership;
        if (leading == null
                || leading.transferTarget() != null
                || !leading.isEstablished()
                || log.members().index() > replica.commitIndex()) {
            return Optional.empty();
        }
        return MembershipPlanner.next(log.members(), self, joiners, new MembershipPlanner.Contacts() {
            @Override
            public boolean isCaughtUp(MemberKey member) {
                OptionalLong lag = leading.lagOf(member, nowMillis);
                return lag.isPresent() && lag.getAsLong() <= MembershipRules.MAX_PROMOTION_LAG;
            }

            @Override
            public long silentMillis(MemberKey member) {
                return leading.silentMillis(member, nowMillis);
            }
        });
    }

    /** Returns for how long no leader was heard; 0 on the leader itself. */
    long leaderSilentMillis(long nowMillis) {
        return role == Role.LEADER ? 0 : nowMillis - leaderHeardMillis;
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
        return finish();
    }

    /** Describes a snapshot of everything applied so far. */
    Snapshot describeSnapshot(long timeMillis, byte[] data) {
        long appliedTerm = log.termAt(replica.appliedIndex()).orElseThrow();
        return new Snapshot(
                replica.appliedIndex(), appliedTerm, timeMillis, log.membersAt(replica.appliedIndex()), data);
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
        long entries = replica.appliedIndex() - log.snapshotIndex();
        return entries >= timing.snapshotEntries() || (entries > 0 && log.entryBytes() >= timing.snapshotLogBytes());
    }

    LogStatus status(Address address) {
        Members members = log.members();
        Member me = MembersCodec.find(members, self)
                .orElseGet(() -> new Member(self.memberId(), self.incarnation(), address, false));
        Optional<Member> known = Optional.ofNullable(leader).flatMap(key -> MembersCodec.find(members, key));
        return new LogStatus(
                me,
                statusRole(),
                hardState.term(),
                known,
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
        if (followLeader(nowMillis, request)) {
            replica.append(nowMillis, hardState.term(), request);
        } else {
            replica.reject(nowMillis, hardState.term(), request);
        }
    }

    private void onSnapshotChunk(long nowMillis, RaftMessage.SnapshotChunk chunk) {
        if (followLeader(nowMillis, chunk)) {
            replica.receive(nowMillis, hardState.term(), chunk);
        } else {
            replica.reject(nowMillis, hardState.term(), chunk);
        }
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
        Leadership leading = new Leadership(self, timing, log, out, hardState.term(), replica.commitIndex(), nowMillis);
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
        leaderMet |= newLeader != null;
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

    /** A leader that exists refuses the pre-votes of a member that has just started, so that it may ask early. */
    private void resetElectionDeadline(long nowMillis) {
        int divisor = leaderMet ? 1 : START_WAIT_DIVISOR;
        electionDeadlineMillis = nowMillis
                + random.nextLong(timing.electionMinMillis() / divisor, timing.electionMaxMillis() / divisor + 1);
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

    private NodeOutput finish() {
        Leadership leading = leadership;
        if (leading != null) {
            replica.committed(leading.commitIndex());
            leading.confirmedRound().ifPresent(replica::confirmed);
        }
        replica.apply();
        return out.take(hardState, log);
    }
}
