package org.wagtailcart.policy.placement;

/**
 * State of a replica of a plain service as a candidate for the placement of a request.
 *
 * @param id identity
 * @param failureDomain where it runs
 * @param slots requests that it runs at once
 * @param inFlight in-flight requests, of all gateways
 * @param latencyMillis usual latency of a request
 */
public record ReplicaCandidate(String id, String failureDomain, int slots, int inFlight, double latencyMillis) {}
