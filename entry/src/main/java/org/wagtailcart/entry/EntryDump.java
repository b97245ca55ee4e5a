package org.wagtailcart.entry;

/**
 * Snapshot of the state of an entry for operators.
 *
 * @param ready whether a load balancer may send new work
 * @param draining whether a shutdown has begun
 * @param revision settings revision in force
 * @param leaseMillisLeft time until the settings lease expires, negative after its expiry
 * @param openRequests requests without a complete response
 * @param waitingRequests requests queued for an upstream
 * @param routedAttempts attempts to which a route is assigned
 * @param trackedWorkspaces workspaces tracked by the rate limiter
 * @param workspaceWeights number of workspaces with a weight in the settings
 */
public record EntryDump(
        boolean ready,
        boolean draining,
        long revision,
        long leaseMillisLeft,
        int openRequests,
        int waitingRequests,
        int routedAttempts,
        int trackedWorkspaces,
        int workspaceWeights) {}
