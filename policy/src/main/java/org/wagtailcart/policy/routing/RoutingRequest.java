package org.wagtailcart.policy.routing;

import java.util.List;
import java.util.Set;
import org.wagtailcart.common.Priority;

/**
 * Properties of a request that routing depends on.
 *
 * @param pool model or service name
 * @param priority scheduling class
 * @param promptTokens estimated prompt tokens
 * @param outputTokens estimated output tokens
 * @param prefixHashes hashes of the prompt's prefix blocks, shortest prefix first
 * @param deadlineMillis time by which the response must be complete
 * @param excluded upstreams that earlier attempts of the request used
 */
public record RoutingRequest(
        String pool,
        Priority priority,
        int promptTokens,
        int outputTokens,
        List<Long> prefixHashes,
        long deadlineMillis,
        Set<String> excluded) {}
