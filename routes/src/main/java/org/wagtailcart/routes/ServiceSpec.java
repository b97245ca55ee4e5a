package org.wagtailcart.routes;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.policy.capacity.ReplicaLimits;

/**
 * Service to which routes send requests.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections maximum number of connections to one upstream, of all callers together
 * @param engine parameters of its engines, null for a plain service
 * @param replicaLimits limits between which its replicas are ordered, null if none are ordered
 */
public record ServiceSpec(
        String name,
        String healthPath,
        int maxConnections,
        @Nullable EngineSpec engine,
        @Nullable ReplicaLimits replicaLimits) {}
