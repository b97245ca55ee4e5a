package org.wagtailcart.gateway.share;

/**
 * State of a workspace with recent demand at one gateway, for operators.
 *
 * @param service the service
 * @param workspace the workspace
 * @param askedCostPerSecond cost of the requests that arrived in the last second
 * @param running streams that have begun
 * @param waiting requests without a response so far
 * @param refusedPerSecond requests refused in the last second because the service was contended
 * @param admitFraction fraction of its requests that is admitted while they would wait, 1 for a workspace within its
 *     share
 * @param weight weight of the workspace
 */
public record WorkspaceState(
        String service,
        String workspace,
        double askedCostPerSecond,
        int running,
        int waiting,
        double refusedPerSecond,
        double admitFraction,
        int weight) {}
