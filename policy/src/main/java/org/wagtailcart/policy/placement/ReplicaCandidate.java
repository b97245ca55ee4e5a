package org.wagtailcart.policy.placement;

/**
 * State of a replica of a plain service as a candidate for the placement of a request.
 *
 * @param id identity
 * @param failureDomain where it runs
 * @param slots requests that it runs at once
 * @param inFlight in-flight requests, of all gateways
 * @param latencyMillis usual latency of a request
 * @param slow whether it seems to be in a slow phase
 */
public record ReplicaCandidate(
        String id, String failureDomain, int slots, int inFlight, double latencyMillis, boolean slow) {
    boolean hasFreeSlot() {
        return inFlight < slots;
    }
}
