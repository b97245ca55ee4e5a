package org.wagtailcart.coordination;

import java.util.List;
import org.wagtailcart.common.Address;

/** Message between members. */
sealed interface RaftMessage {
    Envelope envelope();

    /** Term of the sender; for a pre-vote the term it would start. */
    long term();

    /**
     * Ends of a message. A receiver drops a message to another incarnation than its own.
     *
     * @param from identity of the sender
     * @param fromAddress where answers go
     * @param to identity of the receiver
     */
    record Envelope(MemberKey from, Address fromAddress, MemberKey to) {}

    /**
     * Asks for a vote.
     *
     * @param lastIndex index of the candidate's last entry
     * @param lastTerm term of that entry
     * @param preVote whether this only asks if a vote would be granted
     * @param transfer whether the leader asked for this election, so that its own contact does not count against it
     */
    record VoteRequest(Envelope envelope, long term, long lastIndex, long lastTerm, boolean preVote, boolean transfer)
            implements RaftMessage {}

    /** Answer to a {@link VoteRequest}; a granted pre-vote repeats the term asked for. */
    record VoteReply(Envelope envelope, long term, boolean preVote, boolean granted) implements RaftMessage {}

    /**
     * Appends entries; without entries it is a heartbeat.
     *
     * @param previousIndex index of the entry before the first
     * @param previousTerm term of that entry
     * @param commitIndex highest committed index the leader knows
     * @param round latest confirmation round of the leader
     * @param confirmation what a quorum has confirmed for the receiver
     */
    record AppendRequest(
            Envelope envelope,
            long term,
            long previousIndex,
            long previousTerm,
            List<LogEntry> entries,
            long commitIndex,
            long round,
            Confirmation confirmation)
            implements RaftMessage {}

    /**
     * Time by a follower's own clock. Only the run that made a stamp can read it, because a clock may start anew with
     * the host.
     *
     * @param runId random number of the run of the process, 0 for no stamp
     * @param millis its clock
     */
    record LocalTimestamp(long runId, long millis) {
        static final LocalTimestamp NONE = new LocalTimestamp(0, 0);
    }

    /**
     * Confirmation of a follower by a leader that a quorum still followed after it had received the stamp.
     *
     * @param timestamp from the follower's own reply
     * @param commitIndex index that the follower must have applied to be up to date as of the stamp
     */
    record Confirmation(LocalTimestamp timestamp, long commitIndex) {
        static final Confirmation NONE = new Confirmation(LocalTimestamp.NONE, 0);
    }

    /**
     * Answer to an {@link AppendRequest} or {@link SnapshotChunk}.
     *
     * @param success whether the log matches up to {@code matchIndex}
     * @param matchIndex durable index that matches the leader's; when rejected, the index from which to try again
     * @param rejectedIndex when rejected, the previous index of the request
     * @param round round of the request
     * @param timestamp clock of the sender
     */
    record AppendReply(
            Envelope envelope,
            long term,
            boolean success,
            long matchIndex,
            long rejectedIndex,
            long round,
            LocalTimestamp timestamp)
            implements RaftMessage {}

    /**
     * Part of a snapshot.
     *
     * @param index index of the last entry covered
     * @param lastTerm term of that entry
     * @param timeMillis state machine time
     * @param members membership at the index
     * @param offset position of the bytes in the whole
     * @param totalBytes size of the whole
     * @param bytes this part
     */
    record SnapshotChunk(
            Envelope envelope,
            long term,
            long index,
            long lastTerm,
            long timeMillis,
            Membership members,
            int offset,
            int totalBytes,
            byte[] bytes,
            long round)
            implements RaftMessage {}

    /**
     * Answer to a {@link SnapshotChunk} that is not the last one.
     *
     * @param index snapshot that is being received
     * @param nextOffset position from which to go on
     */
    record SnapshotChunkReply(
            Envelope envelope, long term, long index, int nextOffset, long round, LocalTimestamp timestamp)
            implements RaftMessage {}

    /** Tells a voter that has the whole log to start an election at once. */
    record TimeoutNow(Envelope envelope, long term) implements RaftMessage {}
}
