package org.wagtailcart.control.client;

import java.util.List;

/**
 * Question of a gateway for a newer routing table or host list; the answer waits a moment for one.
 *
 * @param processId name of the gateway
 * @param tableVersion version of the table that it holds, 0 for none
 * @param hostListVersion version of the host list that it holds, 0 for none
 * @param outstandingWork its own unfinished work
 * @param prefixUpdates prompt parts that engines read for it since its last question
 * @param prefixUpdateCursor last note of others that it knows, 0 for none
 */
public record WatchRequest(
        String processId,
        long tableVersion,
        long hostListVersion,
        List<OutstandingWork> outstandingWork,
        List<PrefixCacheUpdate> prefixUpdates,
        long prefixUpdateCursor) {}
