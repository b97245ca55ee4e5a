package org.wagtailcart.routes;

/**
 * What all engines of a service have in common.
 *
 * @param slots requests that an engine runs at once
 * @param kvCacheTokens tokens of KV cache that an engine holds
 * @param kvBytesPerToken size of the KV cache of one token
 * @param linkMegabitsPerSecond rate at which an engine sends or receives KV cache
 * @param kvHandleTtlMillis time for which an engine keeps an exported KV cache that nobody takes
 * @param roleChangeMillis time that a change of role takes
 */
public record EngineSpec(
        int slots,
        long kvCacheTokens,
        long kvBytesPerToken,
        double linkMegabitsPerSecond,
        long kvHandleTtlMillis,
        long roleChangeMillis) {}
