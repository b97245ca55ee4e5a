package org.wagtailcart.policy.share;

/**
 * Recent demand of a workspace for a service at one gateway.
 *
 * @param service the service
 * @param workspace the workspace, empty for callers without one
 * @param askedCostPerSecond cost of the requests that arrived
 * @param admittedCostPerSecond cost of the requests that were sent to upstreams
 * @param refusedPerSecond number of requests that were refused because the service was contended
 * @param lateCostPerSecond cost of the requests that were sent although their estimated wait exceeded their target
 */
public record WorkspaceDemand(
        String service,
        String workspace,
        double askedCostPerSecond,
        double admittedCostPerSecond,
        double refusedPerSecond,
        double lateCostPerSecond) {}
