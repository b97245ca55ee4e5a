package org.wagtailcart.policy.placement;

/**
 * What is known of a replica of a plain service when a request is placed.
 *
 * @param id identity
 * @param failureDomain where it runs
 * @param slots requests that it runs at once
 * @param requests requests in flight there, of all gateways
 * @param latencyMillis usual time of a request there
 */
public record ReplicaView(String id, String failureDomain, int slots, int requests, double latencyMillis) {}
