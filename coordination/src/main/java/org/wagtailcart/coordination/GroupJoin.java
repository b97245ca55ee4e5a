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
final class GroupJoin {
    private static final long REQUEST_INTERVAL_MILLIS = 300;
    private static final long REQUEST_TIMEOUT_MILLIS = 1_000;
    private static final long REQUEST_RETENTION_MILLIS = 1_500;

    /** A member that asked. */
    private record RecentRequest(Member member, long deadlineMillis) {}

    private final Set<Address> knownAddresses = ConcurrentHashMap.newKeySet();
    private final Member self;
    private final PeerClient client;
    private final Map<MemberKey, RecentRequest> recentRequestsByKey = new HashMap<>();
    private long nextRequestMillis;

    /**
     * Creates it.
     *
     * @param seedAddresses addresses at which members of the group may be found
     */
    GroupJoin(Member self, List<Address> seedAddresses, PeerClient client) {
        this.self = self;
        this.client = client;
        this.knownAddresses.addAll(seedAddresses);
        this.knownAddresses.remove(self.address());
    }

    /** Asks again when it is time. */
    void sendRequestsIfDue(long nowMillis, Membership membership) {
        if (nowMillis < nextRequestMillis) {
            return;
        }
        nextRequestMillis = nowMillis + REQUEST_INTERVAL_MILLIS;
        Stream.concat(knownAddresses.stream(), membership.members().stream().map(Member::address))
                .distinct()
                .filter(address -> !address.equals(self.address()))
                .forEach(this::sendRequest);
    }

    private void sendRequest(Address address) {
        CompletableFuture<?> unused = client.call(
                        address,
                        new RaftMessageTypes.JoinRequest(self),
                        RaftMessageTypes.JoinReply.class,
                        REQUEST_TIMEOUT_MILLIS)
                .thenAccept(reply -> reply.memberAddresses().stream()
                        .filter(member -> !member.equals(self.address()))
                        .forEach(knownAddresses::add));
    }

    /** Notes that a member asked this one. */
    void onJoinRequest(long nowMillis, Member member) {
        recentRequestsByKey.put(MemberKey.of(member), new RecentRequest(member, nowMillis + REQUEST_RETENTION_MILLIS));
    }

    /** Returns the members that asked lately. */
    Collection<Member> joiners(long nowMillis) {
        recentRequestsByKey.values().removeIf(asked -> asked.deadlineMillis() < nowMillis);
        return recentRequestsByKey.values().stream().map(RecentRequest::member).toList();
    }
}
