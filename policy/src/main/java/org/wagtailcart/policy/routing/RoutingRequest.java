package org.wagtailcart.policy.routing;

import java.util.List;
import java.util.Set;
import org.wagtailcart.common.Priority;

/**
 * What routing knows of a request.
 *
 * @param pool model or service name
 * @param priority scheduling class
 * @param promptTokens estimated prompt tokens
 * @param outputTokens estimated output tokens
 * @param prefixHashes hashes of the prompt's prefix blocks, shortest prefix first
 * @param deadlineMillis time by which the answer must be complete
 * @param excluded upstreams already tried
 */
public record RoutingRequest(
        String pool,
        Priority priority,
        int promptTokens,
        int outputTokens,
        List<Long> prefixHashes,
        long deadlineMillis,
        Set<String> excluded) {}
