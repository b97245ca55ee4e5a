package org.wagtailcart.gateway.protocol;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;

/**
 * Options that a gateway adds to the caller's request for the upstream.
 *
 * @param instanceId the only upstream instance that may run the request
 * @param remainingMillis time until the caller's deadline
 * @param priority scheduling rank from 0 (most urgent) to 9; negative if the request has none
 * @param prefillOnly whether the engine runs only the prefill and keeps the KV cache
 * @param kvCacheHandle KV cache from which decoding starts, null for none
 * @param prefixSource engine from which KV cache of shared prompt segments is fetched before the prefill, null for none
 * @param lastEventId id of the event after which the stream resumes, empty for the complete stream
 * @param workspace workspace of the caller that the upstream is told, empty for none
 */
public record UpstreamRequestOptions(
        String instanceId,
        long remainingMillis,
        int priority,
        boolean prefillOnly,
        @Nullable KvCacheHandle kvCacheHandle,
        @Nullable Address prefixSource,
        String lastEventId,
        String workspace) {}
