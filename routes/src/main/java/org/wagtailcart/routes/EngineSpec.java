package org.wagtailcart.routes;

/**
 * What all engines of a service have in common.
 *
 * @param slots requests that an engine runs at once
 * @param memoryTokens tokens of KV cache that an engine holds
 * @param tokenCacheBytes size of the KV cache of one token
 * @param linkMegabitsPerSecond rate at which an engine sends or receives KV cache
 * @param handleMillis time for which an engine keeps an exported KV cache that nobody takes
 * @param roleChangeMillis time that a change of role takes
 */
public record EngineSpec(
        int slots,
        long memoryTokens,
        long tokenCacheBytes,
        double linkMegabitsPerSecond,
        long handleMillis,
        long roleChangeMillis) {}
