package org.wagtailcart.once;

/**
 * Size and activity counters of the registry, for the state dump. The activity counters start at zero with the process.
 *
 * @param inFlight keys IN_FLIGHT
 * @param completed keys COMPLETED
 * @param unknown keys UNKNOWN
 * @param retainedResults results kept for resent commands
 * @param responseBytes total size of the recorded bodies
 * @param reserved reservations made
 * @param released reservations released
 * @param expired keys removed after their retention
 * @param timedOut in-flight keys that became UNKNOWN at their time limit
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
