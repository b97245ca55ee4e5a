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
 * Client and tracker of join requests. A member without a leader sends requests to all known addresses; a member that
 * receives requests keeps the recent ones, from which the leader adds members.
 */
final class GroupJoin {
    private static final long REQUEST_INTERVAL_MILLIS = 300;
    private static final long REQUEST_TIMEOUT_MILLIS = 1_000;
    private static final long REQUEST_RETENTION_MILLIS = 1_500;

    private record RecentRequest(Member member, long deadlineMillis) {}

    private final Set<Address> knownAddresses = ConcurrentHashMap.newKeySet();
    private final Member self;
    private final PeerClient client;
    private final Map<MemberKey, RecentRequest> recentRequestsByKey = new HashMap<>();
    private long nextRequestMillis;

    /**
     * Creates the client of a member.
     *
     * @param seedAddresses addresses at which members of the group may run
     */
    GroupJoin(Member self, List<Address> seedAddresses, PeerClient client) {
        this.self = self;
        this.client = client;
        this.knownAddresses.addAll(seedAddresses);
        this.knownAddresses.remove(self.address());
    }

    /** Sends a join request to every known address if the request interval has passed. */
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

    /** Records a join request from a member. */
    void onJoinRequest(long nowMillis, Member member) {
        recentRequestsByKey.put(MemberKey.of(member), new RecentRequest(member, nowMillis + REQUEST_RETENTION_MILLIS));
    }

    /** Returns the members with a recent join request. */
    Collection<Member> joiners(long nowMillis) {
        recentRequestsByKey.values().removeIf(request -> request.deadlineMillis() < nowMillis);
        return recentRequestsByKey.values().stream().map(RecentRequest::member).toList();
    }
}
