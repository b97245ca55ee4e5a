package org.wagtailcart.routes;

/**
 * Parameters common to all engines of a service.
 *
 * @param slots requests that an engine runs at once
 * @param kvCacheTokens capacity of an engine's KV cache in tokens
 * @param kvBytesPerToken size of the KV cache of one token
 * @param linkMegabitsPerSecond rate at which an engine sends or receives KV cache
 * @param kvHandleTtlMillis time for which an engine keeps an exported KV cache that is not fetched
 * @param roleChangeMillis duration of a role change
 */
public record EngineSpec(
        int slots,
        long kvCacheTokens,
        long kvBytesPerToken,
        double linkMegabitsPerSecond,
        long kvHandleTtlMillis,
        long roleChangeMillis) {}
