package org.wagtailcart.coordination;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.wagtailcart.common.Address;
import org.wagtailcart.wire.PeerClient;

/**
 * Lets a member find its group. A member without a leader asks all addresses it knows to be taken in; a leader keeps who
 * asked lately.
 */
final class Joining {
    private static final long ASK_INTERVAL_MILLIS = 300;
    private static final long ASK_LIMIT_MILLIS = 1_000;
    private static final long KEEP_MILLIS = 1_500;

    /** A member that asked. */
    private record Asked(Member member, long deadlineMillis) {}

    private final Set<Address> contacts = ConcurrentHashMap.newKeySet();
    private final Member self;
    private final PeerClient client;
    private final Map<MemberKey, Asked> askedByKey = new HashMap<>();
    private long nextAskMillis;

    /**
     * Creates it.
     *
     * @param contacts addresses at which members of the group may be found
     */
    Joining(Member self, List<Address> contacts, PeerClient client) {
        this.self = self;
        this.client = client;
        this.contacts.addAll(contacts);
        this.contacts.remove(self.address());
    }

    /** Asks again when it is time. */
    void askIfDue(long nowMillis, Members known) {
        if (nowMillis < nextAskMillis) {
            return;
        }
        nextAskMillis = nowMillis + ASK_INTERVAL_MILLIS;
        Stream.concat(contacts.stream(), known.members().stream().map(Member::address))
                .distinct()
                .filter(address -> !address.equals(self.address()))
                .forEach(this::ask);
    }

    private void ask(Address address) {
        CompletableFuture<?> unused = client.call(
                        address, new RaftMessages.JoinRequest(self), RaftMessages.JoinReply.class, ASK_LIMIT_MILLIS)
                .thenAccept(reply -> reply.members().stream()
                        .filter(member -> !member.equals(self.address()))
                        .forEach(contacts::add));
    }

    /** Notes that a member asked this one. */
    void asked(long nowMillis, Member member) {
        askedByKey.put(MemberKey.of(member), new Asked(member, nowMillis + KEEP_MILLIS));
    }

    /** Returns the members that asked lately. */
    Collection<Member> joiners(long nowMillis) {
        askedByKey.values().removeIf(asked -> asked.deadlineMillis() < nowMillis);
        return askedByKey.values().stream().map(Asked::member).toList();
    }
}
