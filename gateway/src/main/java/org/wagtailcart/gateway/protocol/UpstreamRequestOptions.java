package org.wagtailcart.gateway.protocol;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;

/**
 * What a gateway tells an upstream beside the caller's own request.
 *
 * @param instanceId the only upstream that may run it
 * @param remainingMillis time until the caller's deadline
 * @param rank urgency from 0, the highest, to 9; negative when it has none
 * @param prefillOnly whether the engine only reads the prompt and keeps its KV cache
 * @param kvCacheHandle KV cache to continue from, null for none
 * @param prefixSource engine from which the upstream fetches KV cache of the prompt's shared parts first, null for none
 * @param lastEventId event after which a stream continues, empty for the whole stream
 */
public record UpstreamRequestOptions(
        String instanceId,
        long remainingMillis,
        int rank,
        boolean prefillOnly,
        @Nullable KvCacheHandle kvCacheHandle,
        @Nullable Address prefixSource,
        String lastEventId) {}
