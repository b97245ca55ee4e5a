package org.wagtailcart.control.client;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Long poll of a gateway for a newer routing table or host list. The member delays its reply until there is one or the
 * poll times out.
 *
 * @param processId process id of the gateway
 * @param tableVersion version of the gateway's routing table, 0 for none
 * @param hostListVersion version of the gateway's host list, 0 for none
 * @param outstandingWork the gateway's own outstanding work, one item per upstream
 * @param prefixUpdates prefix updates caused by the gateway's requests since its last poll
 * @param prefixUpdateCursor cursor of the last reply that the gateway received, 0 for none
 * @param quarantineVersion version of the quarantine state of the last reply, 0 for none
 * @param quarantineUpdate crashes and completions since the last poll, null if there are none
 * @param report clock and load of the gateway, null from a process that reports none
 */
public record WatchRequest(
        String processId,
        long tableVersion,
        long hostListVersion,
        List<OutstandingWork> outstandingWork,
        List<PrefixCacheUpdate> prefixUpdates,
        long prefixUpdateCursor,
        long quarantineVersion,
        @Nullable QuarantineUpdate quarantineUpdate,
        @Nullable GatewayReport report) {}
