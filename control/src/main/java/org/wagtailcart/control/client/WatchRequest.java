package org.wagtailcart.control.client;

import java.util.List;

/**
 * Question of a gateway for a newer routing table or host list; the answer waits a moment for one.
 *
 * @param processId name of the gateway
 * @param knownVersion version of the table that it holds, 0 for none
 * @param knownDirectory version of the host list that it holds, 0 for none
 * @param work its own unfinished work
 * @param prefixUpdates prompt parts that engines read for it since its last question
 * @param prefixUpdateCursor last note of others that it knows, 0 for none
 */
public record WatchRequest(
        String processId,
        long knownVersion,
        long knownDirectory,
        List<UpstreamWork> work,
        List<PrefixCacheUpdate> prefixUpdates,
        long prefixUpdateCursor) {}
