package org.wagtailcart.policy.placement;

/**
 * What is known of a replica of a plain service when a request is placed.
 *
 * @param id identity
 * @param failureDomain where it runs
 * @param slots requests that it runs at once
 * @param inFlight requests in flight there, of all gateways
 * @param latencyMillis usual time of a request there
 */
public record ReplicaCandidate(String id, String failureDomain, int slots, int inFlight, double latencyMillis) {}
