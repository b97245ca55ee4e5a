package org.wagtailcart.policy.capacity;

import java.util.List;
import java.util.OptionalDouble;

/**
 * What is known about the load and the replicas of a service.
 *
 * @param nowMillis monotonic time
 * @param demandSlots slots that the requests of the last second ask for, refused ones included; empty if unknown
 * @param slotsPerReplica requests that a replica runs at the same time
 * @param domains replicas by failure domain in which the service runs
 */
public record CapacityObservation(
        long nowMillis, OptionalDouble demandSlots, int slotsPerReplica, List<DomainReplicas> domains) {}
