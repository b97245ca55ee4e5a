package org.wagtailcart.entry;

/**
 * State of an entry for operators.
 *
 * @param ready whether a load balancer may send new work
 * @param draining whether a shutdown has begun
 * @param revision settings revision in force
 * @param leaseMillisLeft time until the settings are no longer confirmed, negative when they are not
 * @param openRequests requests without a complete response
 * @param waitingRequests requests that wait for an upstream
 * @param routedAttempts attempts that hold a route
 * @param trackedWorkspaces workspaces with a rate account
 */
public record EntryDump(
        boolean ready,
        boolean draining,
        long revision,
        long leaseMillisLeft,
        int openRequests,
        int waitingRequests,
        int routedAttempts,
        int trackedWorkspaces) {}
