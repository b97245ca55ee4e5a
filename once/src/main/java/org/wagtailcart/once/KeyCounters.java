package org.wagtailcart.once;

/**
 * Size and activity of the registry, for the state dump. The activity counts start with the process.
 *
 * @param inFlight keys IN_FLIGHT
 * @param completed keys COMPLETED
 * @param unknown keys UNKNOWN
 * @param retainedResults results kept for resent commands
 * @param responseBytes total size of the recorded bodies
 * @param reserved reservations made
 * @param released reservations released
 * @param expired keys forgotten after their retention
 * @param timedOut open keys that became UNKNOWN at their bound
 */
public record KeyCounters(
        int inFlight,
        int completed,
        int unknown,
        int retainedResults,
        long responseBytes,
        long reserved,
        long released,
        long expired,
        long timedOut) {}
