package org.wagtailcart.bench;

import java.util.List;

/**
 * A request as the workload creates it.
 *
 * @param entry entry that the load balancer picks
 */
record Arrival(
        int id,
        double atMillis,
        RequestKind kind,
        int promptTokens,
        int outputTokens,
        List<Long> prefixHashes,
        int entry) {}
