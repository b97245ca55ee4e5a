package org.wagtailcart.coordination;

import java.util.List;
import org.wagtailcart.common.Address;
import org.wagtailcart.wire.MessageType;

/** Message types between control members and their numbers, 100 to 199. */
public final class RaftMessageTypes {
    public static final List<MessageType> TYPES = List.of(
            new MessageType(100, RaftMessage.VoteRequest.class),
            new MessageType(101, RaftMessage.VoteReply.class),
            new MessageType(102, RaftMessage.AppendRequest.class),
            new MessageType(103, RaftMessage.AppendReply.class),
            new MessageType(104, RaftMessage.SnapshotChunk.class),
            new MessageType(105, RaftMessage.SnapshotChunkReply.class),
            new MessageType(106, RaftMessage.TimeoutNow.class),
            new MessageType(107, DeliveryAck.class),
            new MessageType(108, IdentityRequest.class),
            new MessageType(109, IdentityReply.class),
            new MessageType(110, Membership.class),
            new MessageType(111, JoinRequest.class),
            new MessageType(112, JoinReply.class));

    private RaftMessageTypes() {}

    /** Acknowledgement of the transport; the reply of the Raft protocol is a separate message. */
    record DeliveryAck(boolean accepted) {}

    /**
     * Requests the identity of an initial member before the bootstrap of the group.
     *
     * @param memberId id of the requesting member
     */
    record IdentityRequest(String memberId) {}

    /**
     * Identity of an initial member.
     *
     * @param member its id, incarnation and address
     * @param uninitialized whether it has neither voted nor written an entry
     * @param initialMembers its list of initial members
     */
    record IdentityReply(Member member, boolean uninitialized, List<InitialMember> initialMembers) {}

    /**
     * Requests to join the group.
     *
     * @param member requesting member
     */
    record JoinRequest(Member member) {}

    /**
     * Reply to a {@link JoinRequest}; a leader adds the member later, unless it is in the group already.
     *
     * @param memberAddresses addresses of the members in the membership of the replying member
     */
    record JoinReply(List<Address> memberAddresses) {}
}
