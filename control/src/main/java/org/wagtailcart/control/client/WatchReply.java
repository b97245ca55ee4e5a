package org.wagtailcart.control.client;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.routes.RouteTable;

/**
 * Reply to {@link WatchRequest}.
 *
 * @param table newer routing table, null when the gateway has the current one
 * @param tableVersion version of the routing table in force at the replying member
 * @param confirmationAgeMillis time since a leader with a quorum confirmed the replying member
 * @param leaderAddress peer address of the leader, empty when unknown
 * @param memberAddresses peer addresses of all members
 * @param gatewayCount number of gateways that recently polled this member
 * @param otherGatewaysWork outstanding work, per upstream, of the other gateways that recently polled this member
 * @param prefixUpdates prefix updates from the other gateways and from the cache scan after {@code prefixUpdateCursor}
 *     of the request
 * @param prefixUpdateCursor number of the last prefix update covered by this reply
 * @param hostListVersion version of the member's host list, 0 when it has no fresh one
 * @param upstreams the host list, null when the gateway has that version
 * @param hostListAgeMillis time since the host list was read
 * @param quarantineVersion version of the member's quarantine state, 0 while it is empty
 * @param quarantine the quarantine state, null when the gateway has that version
 * @param fleet what the member knows from the reports of all gateways, null from a member that knows nothing
 */
public record WatchReply(
        @Nullable RouteTable table,
        long tableVersion,
        long confirmationAgeMillis,
        String leaderAddress,
        List<String> memberAddresses,
        int gatewayCount,
        List<OutstandingWork> otherGatewaysWork,
        List<PrefixCacheUpdate> prefixUpdates,
        long prefixUpdateCursor,
        long hostListVersion,
        @Nullable List<ListedUpstream> upstreams,
        long hostListAgeMillis,
        long quarantineVersion,
        @Nullable QuarantineState quarantine,
        @Nullable FleetReport fleet) {}
