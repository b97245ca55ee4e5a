package org.wagtailcart.coordination;

import java.util.List;
import org.wagtailcart.common.Address;

/** Raft message between two members of the group. */
sealed interface RaftMessage {
    Envelope envelope();

    /** Returns the term of the sender; for a pre-vote, the term that the candidate would start. */
    long term();

    /**
     * Sender and receiver of a message. A member drops messages to other incarnations.
     *
     * @param from identity of the sender
     * @param fromAddress address for replies
     * @param to identity of the receiver
     */
    record Envelope(MemberKey from, Address fromAddress, MemberKey to) {}

    /**
     * Requests a vote or a pre-vote.
     *
     * @param lastIndex index of the candidate's last entry
     * @param lastTerm term of that entry
     * @param preVote whether the request only checks if a vote would be granted
     * @param transfer whether the leader requested this election, so that voters with leader contact do not refuse it
     */
    record VoteRequest(Envelope envelope, long term, long lastIndex, long lastTerm, boolean preVote, boolean transfer)
            implements RaftMessage {}

    /** Reply to a {@link VoteRequest}; a granted pre-vote carries the term of the request. */
    record VoteReply(Envelope envelope, long term, boolean preVote, boolean granted) implements RaftMessage {}

    /**
     * Appends entries; without entries it is a heartbeat.
     *
     * @param previousIndex index of the entry before the first
     * @param previousTerm term of that entry
     * @param commitIndex commit index of the leader
     * @param round latest heartbeat round of the leader
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
     * Timestamp of a follower's monotonic clock. It is valid only in the run of the process that created it, because
     * the clock may restart with the host.
     *
     * @param runId random id of the run of the process, 0 for no timestamp
     * @param millis monotonic time of the follower
     */
    record LocalTimestamp(long runId, long millis) {
        static final LocalTimestamp NONE = new LocalTimestamp(0, 0);
    }

    /**
     * Confirmation for a follower: a quorum still followed the leader after the leader had received the timestamp.
     *
     * @param timestamp timestamp from a reply of the follower
     * @param commitIndex index that the follower must have applied to be up to date as of the timestamp
     */
    record Confirmation(LocalTimestamp timestamp, long commitIndex) {
        static final Confirmation NONE = new Confirmation(LocalTimestamp.NONE, 0);
    }

    /**
     * Reply to an {@link AppendRequest} or {@link SnapshotChunk}.
     *
     * @param success whether the log matches up to {@code matchIndex}
     * @param matchIndex highest durable index that matches the leader's log; when rejected, the index after which the
     *     leader should try again
     * @param rejectedIndex when rejected, the previous index of the request
     * @param round round of the request
     * @param timestamp timestamp of the sender
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
     * One chunk of a snapshot.
     *
     * @param index index of the last entry covered
     * @param lastTerm term of that entry
     * @param timeMillis state machine time
     * @param members membership at the index
     * @param offset position of the chunk in the snapshot data
     * @param totalBytes size of the snapshot data
     * @param bytes data of this chunk
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
     * Reply to a {@link SnapshotChunk} that is not the last one.
     *
     * @param index snapshot that is being received
     * @param nextOffset offset of the next chunk
     */
    record SnapshotChunkReply(
            Envelope envelope, long term, long index, int nextOffset, long round, LocalTimestamp timestamp)
            implements RaftMessage {}

    /** Requests a voter with the full log to start an election at once, for a leadership transfer. */
    record TimeoutNow(Envelope envelope, long term) implements RaftMessage {}
}
