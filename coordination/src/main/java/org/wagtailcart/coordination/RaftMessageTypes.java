package org.wagtailcart.coordination;

import java.util.List;
import org.wagtailcart.common.Address;
import org.wagtailcart.wire.MessageType;

/** Type numbers of the messages between control members, 100 to 199. */
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

    /** Answer of the transport; the answer of the log is a message of its own. */
    record DeliveryAck(boolean accepted) {}

    /**
     * Asks an initial member who it is, before the group is founded.
     *
     * @param memberId who asks
     */
    record IdentityRequest(String memberId) {}

    /**
     * Identity of an initial member.
     *
     * @param member its id, incarnation and address
     * @param uninitialized whether it has never voted nor stored an entry
     * @param initialMembers its list of initial members
     */
    record IdentityReply(Member member, boolean uninitialized, List<InitialMember> initialMembers) {}

    /**
     * Asks to take part in the group.
     *
     * @param member who asks
     */
    record JoinRequest(Member member) {}

    /**
     * Answer to {@link JoinRequest}; a leader takes the member in later, if it is not in the group already.
     *
     * @param memberAddresses addresses of the members that the answering one knows
     */
    record JoinReply(List<Address> memberAddresses) {}
}
