package org.wagtailcart.gateway.protocol;

import org.wagtailcart.common.Address;

/**
 * KV cache that an engine holds for one request.
 *
 * @param engine address of the engine
 * @param handle its name there
 */
public record KvCacheHandle(Address engine, String handle) {}
