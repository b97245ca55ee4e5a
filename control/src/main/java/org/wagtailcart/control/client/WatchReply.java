package org.wagtailcart.control.client;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.routes.RouteTable;

/**
 * Answer to {@link WatchRequest}.
 *
 * @param table newer table, null when the gateway holds the one in force
 * @param tableVersion version in force at the answering member
 * @param confirmationAgeMillis time since a leader with a quorum confirmed the answering member
 * @param leaderAddress peer address of the leader, empty when unknown
 * @param memberAddresses peer addresses of all members
 * @param gatewayCount gateways that asked this member lately
 * @param otherGatewaysWork unfinished work of the other gateways that asked this member lately
 * @param prefixUpdates prompt parts that engines read for the other gateways
 * @param prefixUpdateCursor last note that was looked at
 * @param hostListVersion version of the host list that the member read, 0 when it has no fresh one
 * @param upstreams the host list, null when the gateway holds that version
 * @param hostListAgeMillis time since the host list was read
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
        long hostListAgeMillis) {}
