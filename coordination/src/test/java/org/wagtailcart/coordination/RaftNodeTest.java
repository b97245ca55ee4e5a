package org.wagtailcart.coordination;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

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

    /** Guards against an entry of an older term that counts as committed and that another leader may still replace. */
    @Test
    void entryOfAnOlderTermIsNotCommittedByCounting() {
        becomeLeader();
        assertThat(acknowledge(2).committedEntries()).isEmpty();
        assertThat(commitIndex()).isEqualTo(0);
        assertThat(acknowledge(3).committedEntries()).hasSize(3);
        assertThat(commitIndex()).isEqualTo(3);
    }

    /** Guards against a leader that counts or applies a proposal before its own sync. */
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

    /** Guards against a stale read that a reply from before the question confirms. */
    @Test
    void readIsConfirmedOnlyByARoundThatStartedAfterIt() {
        becomeLeader();
        acknowledge(3);
        NodeOutput asked = node.requestReadIndex(ELECTION, List.of(7L));
        long round = asked.messages().stream()
                .map(RaftMessage.AppendRequest.class::cast)
                .mapToLong(RaftMessage.AppendRequest::round)
                .max()
                .orElseThrow();
        assertThat(asked.events()).isEmpty();
        assertThat(acknowledge(OTHER, 3, round - 1).events()).isEmpty();
        assertThat(acknowledge(OTHER, 3, round).events()).containsExactly(new NodeEvent.ReadConfirmed(7, 3));
    }

    /** Guards against two membership changes at a time and a change before the leader knows what is committed. */
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

    /** Guards against a vote that leaves the member before it is durable, which a restart would forget. */
    @Test
    void voteIsSentOnlyAfterItIsDurable() {
        NodeOutput output = node.step(
                START,
                new RaftMessage.VoteRequest(new RaftMessage.Envelope(OTHER, ADDRESS, SELF), 3, 9, 2, false, false));
        assertThat(output.messages()).isEmpty();
        assertThat(output.messagesAfterWrite()).hasSize(1);
        assertThat(output.write().hardState()).isEqualTo(new HardState(3, OTHER));
    }

    /** After a loss of power everywhere, callers wait for the first election. */
    @Test
    void aMemberThatHasJustStartedRequestsPreVotesEarly() {
        NodeOutput output = node.tick(START + 501);
        assertThat(Stream.concat(output.messages().stream(), output.messagesAfterWrite().stream())
                        .map(RaftMessage.VoteRequest.class::cast)
                        .filter(RaftMessage.VoteRequest::preVote))
                .hasSize(2);
    }

    /** Guards against elections while the leader is only late. */
    @Test
    void aMemberWithLeaderContactWaitsForTheFullElectionTimeout() {
        NodeOutput heard = node.step(START, heartbeat(2));
        assertThat(node.tick(START + 999).messages()).isEmpty();
        assertThat(heard.messages().size() + heard.messagesAfterWrite().size()).isEqualTo(1);
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
        RaftMessage.Envelope route = new RaftMessage.Envelope(OTHER, ADDRESS, SELF);
        return new RaftMessage.AppendRequest(route, term, 2, 2, List.of(), 0, 1, RaftMessage.Confirmation.NONE);
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
