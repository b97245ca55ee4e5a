package org.wagtailcart.bench;

import java.util.List;

/**
 * A generated request with its arrival time and token counts.
 *
 * @param id index of the request in order of generation, from 0
 * @param atMillis time of arrival in virtual time
 * @param prefixHashes hashes of the full blocks of the prompt, first block first
 * @param entry index of the entry that receives the request
 */
record Arrival(
        int id,
        double atMillis,
        RequestKind kind,
        int promptTokens,
        int outputTokens,
        List<Long> prefixHashes,
        int entry) {}
