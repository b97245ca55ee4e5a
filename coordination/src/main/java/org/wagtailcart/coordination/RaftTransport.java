package org.wagtailcart.coordination;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.wire.Exchange;
import org.wagtailcart.wire.PeerClient;
import org.wagtailcart.wire.PeerDispatcher;
import org.wagtailcart.wire.StreamListener;

/** Transport of Raft messages between members. Delivery is best effort; the Raft protocol resends what is needed. */
final class RaftTransport {
    private static final Logger LOG = System.getLogger(RaftTransport.class.getName());

    private final MemberKey self;
    private final PeerClient client;
    private final Map<MemberKey, Address> senderAddresses = new ConcurrentHashMap<>();
    private final Set<MemberKey> replacedMembers = ConcurrentHashMap.newKeySet();

    RaftTransport(MemberKey self, PeerClient client) {
        this.self = self;
        this.client = client;
    }

    /** Registers the handlers of Raft messages and of identity requests. */
    void register(
            PeerDispatcher dispatcher,
            Consumer<RaftMessage> messageHandler,
            Executor controlThread,
            Supplier<RaftMessageTypes.IdentityReply> identity) {
        List.of(
                        RaftMessage.VoteRequest.class,
                        RaftMessage.VoteReply.class,
                        RaftMessage.AppendRequest.class,
                        RaftMessage.AppendReply.class,
                        RaftMessage.SnapshotChunk.class,
                        RaftMessage.SnapshotChunkReply.class,
                        RaftMessage.TimeoutNow.class)
                .forEach(type -> dispatcher.register(
                        type, (exchange, request) -> receive(exchange, (RaftMessage) request, messageHandler)));
        dispatcher.register(
                RaftMessageTypes.IdentityRequest.class,
                (exchange, request) -> controlThread.execute(() -> exchange.finish(identity.get())));
    }

    /**
     * Sends a message to the address of its receiver in the membership, else to the address in the latest message from
     * the receiver. Without an address the message is dropped.
     */
    void send(RaftMessage message, Membership members) {
        MemberKey to = message.envelope().to();
        Address address = Memberships.find(members, to).map(Member::address).orElseGet(() -> senderAddresses.get(to));
        if (address != null) {
            client.open(address, message, new DeliveryListener(to));
        }
    }

    private void receive(Exchange exchange, RaftMessage message, Consumer<RaftMessage> messageHandler) {
        RaftMessage.Envelope envelope = message.envelope();
        if (!envelope.to().equals(self)) {
            throw new WagtailcartException(
                    ResultCode.MEMBERSHIP_CHANGE_INVALID,
                    "this is member \"" + self.memberId() + "\" with incarnation " + self.incarnation() + ", not \""
                            + envelope.to().memberId() + "\" with incarnation "
                            + envelope.to().incarnation());
        }
        senderAddresses.put(envelope.from(), envelope.fromAddress());
        messageHandler.accept(message);
        exchange.finish(new RaftMessageTypes.DeliveryAck(true));
    }

    /** Logs once for each member that another incarnation replies at its address, as after the loss of its disk. */
    private final class DeliveryListener implements StreamListener {
        private final MemberKey to;

        DeliveryListener(MemberKey to) {
            this.to = to;
        }

        @Override
        public void onEvent(Object event) {}

        @Override
        public void onEnd(Object response) {}

        @Override
        public void onFailure(WagtailcartException error) {
            if (error.code() == ResultCode.MEMBERSHIP_CHANGE_INVALID && replacedMembers.add(to)) {
                LOG.log(
                        Level.WARNING,
                        LogEvent.of(
                                "member-replaced",
                                "member",
                                to.memberId(),
                                "incarnation",
                                to.incarnation(),
                                "reason",
                                error.getMessage()));
            }
        }
    }
}
