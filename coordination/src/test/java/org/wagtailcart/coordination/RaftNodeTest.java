package org.wagtailcart.coordination;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Guards against violations of the Raft rules for commit, reads, votes and membership changes in a single node. */
class RaftNodeTest {
    private static final Address ADDRESS = new Address("127.0.0.1", 1);
    private static final MemberKey SELF = new MemberKey("m1", 11);
    private static final MemberKey OTHER = new MemberKey("m2", 22);
    private static final MemberKey THIRD = new MemberKey("m3", 33);
    private static final List<Member> VOTERS = Stream.of(SELF, OTHER, THIRD)
            .map(key -> new Member(key.memberId(), key.incarnation(), ADDRESS, true))
            .toList();
    private static final long START = 1_000;
    private static final long ELECTION = START + 2_001;

    private final RaftNode node =
            new RaftNode(SELF, ADDRESS, RaftTuning.standard(), new HardState(2, null), logWithEntryOfTerm(2), 1, START);

    /** Guards against committing an entry of an older term by counting replicas, which another leader may overwrite. */
    @Test
    void entryOfAnOlderTermIsNotCommittedByCounting() {
        becomeLeader();
        assertThat(acknowledge(2).committedEntries()).isEmpty();
        assertThat(commitIndex()).isEqualTo(0);
        assertThat(acknowledge(3).committedEntries()).hasSize(3);
        assertThat(commitIndex()).isEqualTo(3);
    }

    /** Guards against a leader that counts itself for a proposal, or applies it, before its own sync. */
    @Test
    void leaderNeitherCountsNorAppliesBeforeItsOwnSync() {
        becomeLeader();
        acknowledge(3);
        NodeOutput proposed = node.propose(ELECTION, 0, List.of(new Proposal(1, new byte[] {1})));
        assertThat(acknowledge(4).committedEntries()).isEmpty();
        assertThat(commitIndex()).isEqualTo(3);
        assertThat(acknowledge(THIRD, 4).committedEntries()).isEmpty();
        assertThat(commitIndex()).isEqualTo(4);
        assertThat(node.onDurable(ELECTION, numberOf(proposed)).committedEntries())
                .hasSize(1);
    }

    /** Guards against a stale read that is confirmed by a reply to a round that started before the read. */
    @Test
    void readIsConfirmedOnlyByARoundThatStartedAfterIt() {
        becomeLeader();
        acknowledge(3);
        NodeOutput requested = node.requestReadIndex(ELECTION, List.of(7L));
        long round = requested.messages().stream()
                .map(RaftMessage.AppendRequest.class::cast)
                .mapToLong(RaftMessage.AppendRequest::round)
                .max()
                .orElseThrow();
        assertThat(requested.events()).isEmpty();
        assertThat(acknowledge(OTHER, 3, round - 1).events()).isEmpty();
        assertThat(acknowledge(OTHER, 3, round).events()).containsExactly(new NodeEvent.ReadConfirmed(7, 3));
    }

    /** Guards against concurrent membership changes, and a change before an entry of the leader's term is committed. */
    @Test
    void oneMembershipChangeAtATime() {
        becomeLeader();
        Member learner = new Member("m4", 44, ADDRESS, false);
        MembershipChange change = new MembershipChange(MembershipChange.Kind.ADD_LEARNER, learner);
        assertThat(refusal(change)).isEqualTo(ResultCode.MEMBERSHIP_CHANGE_IN_PROGRESS);
        acknowledge(3);
        node.changeMembership(ELECTION, 0, 1, change);
        Member next = new Member("m5", 55, ADDRESS, false);
        assertThat(refusal(new MembershipChange(MembershipChange.Kind.ADD_LEARNER, next)))
                .isEqualTo(ResultCode.MEMBERSHIP_CHANGE_IN_PROGRESS);
    }

    /** Guards against a vote that is sent before it is durable: after a restart the member could vote again. */
    @Test
    void voteIsSentOnlyAfterItIsDurable() {
        NodeOutput output = node.step(
                START,
                new RaftMessage.VoteRequest(new RaftMessage.Envelope(OTHER, ADDRESS, SELF), 3, 9, 2, false, false));
        assertThat(output.messages()).isEmpty();
        assertThat(output.messagesAfterWrite()).hasSize(1);
        assertThat(output.write().hardState()).isEqualTo(new HardState(3, OTHER));
    }

    /** Guards against a slow first election after all members lost power, for which all callers wait. */
    @Test
    void aMemberThatHasJustStartedRequestsPreVotesEarly() {
        NodeOutput output = node.tick(START + 501);
        assertThat(Stream.concat(output.messages().stream(), output.messagesAfterWrite().stream())
                        .map(RaftMessage.VoteRequest.class::cast)
                        .filter(RaftMessage.VoteRequest::preVote))
                .hasSize(2);
    }

    /** Guards against needless elections when a heartbeat of the leader is only delayed. */
    @Test
    void aMemberWithLeaderContactWaitsForTheFullElectionTimeout() {
        NodeOutput output = node.step(START, heartbeat(2));
        assertThat(node.tick(START + 999).messages()).isEmpty();
        assertThat(output.messages().size() + output.messagesAfterWrite().size())
                .isEqualTo(1);
    }

    private ResultCode refusal(MembershipChange change) {
        return assertThrows(WagtailcartException.class, () -> node.changeMembership(ELECTION, 0, 9, change))
                .code();
    }

    private void becomeLeader() {
        node.tick(ELECTION);
        NodeOutput candidate = node.step(ELECTION, vote(3, true));
        node.onDurable(ELECTION, numberOf(candidate));
        NodeOutput leader = node.step(ELECTION, vote(3, false));
        node.onDurable(ELECTION, numberOf(leader));
        assertThat(node.status(ADDRESS).role()).isEqualTo(RaftStatus.Role.LEADER);
    }

    private static long numberOf(NodeOutput output) {
        return output.write().number();
    }

    private NodeOutput acknowledge(long index) {
        return acknowledge(OTHER, index);
    }

    private NodeOutput acknowledge(MemberKey from, long index) {
        return acknowledge(from, index, 0);
    }

    private NodeOutput acknowledge(MemberKey from, long index, long round) {
        return node.step(
                ELECTION,
                new RaftMessage.AppendReply(
                        new RaftMessage.Envelope(from, ADDRESS, SELF),
                        3,
                        true,
                        index,
                        0,
                        round,
                        RaftMessage.LocalTimestamp.NONE));
    }

    private long commitIndex() {
        return node.status(ADDRESS).commitIndex();
    }

    private static RaftMessage vote(long term, boolean preVote) {
        return new RaftMessage.VoteReply(new RaftMessage.Envelope(OTHER, ADDRESS, SELF), term, preVote, true);
    }

    private static RaftMessage heartbeat(long term) {
        RaftMessage.Envelope envelope = new RaftMessage.Envelope(OTHER, ADDRESS, SELF);
        return new RaftMessage.AppendRequest(envelope, term, 2, 2, List.of(), 0, 1, RaftMessage.Confirmation.NONE);
    }

    private static NodeLog logWithEntryOfTerm(long term) {
        byte[] members = Memberships.encode(new Membership(1, VOTERS));
        return new NodeLog(
                null,
                0,
                0,
                List.of(
                        new LogEntry(1, 1, 0, LogEntry.Kind.MEMBERS, members),
                        new LogEntry(2, term, 0, LogEntry.Kind.COMMAND, new byte[] {1})));
    }
}
