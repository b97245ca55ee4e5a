package org.wagtailcart.gateway.protocol;

import org.wagtailcart.common.Address;

/**
 * Reference to the KV cache that an engine keeps for one request after its prefill.
 *
 * @param engine address of the engine that keeps the KV cache
 * @param handle name of the KV cache at that engine
 */
public record KvCacheHandle(Address engine, String handle) {}
