package org.wagtailcart.routes;

import org.jspecify.annotations.Nullable;

/**
 * A service that routes name.
 *
 * @param name name of the service
 * @param healthPath path that answers health checks
 * @param maxConnections connections that an upstream accepts from all callers together
 * @param engine figures of its engines, null for a plain service
 */
public record ServiceSpec(String name, String healthPath, int maxConnections, @Nullable EngineSpec engine) {}
