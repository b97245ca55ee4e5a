package org.wagtailcart.once;

import java.util.List;

/**
 * Snapshot of the registry. Every list is ordered by deadline.
 *
 * @param timeMillis latest state machine time
 * @param inFlight keys IN_FLIGHT
 * @param completed keys COMPLETED
 * @param unknown keys UNKNOWN
 * @param results first results of recent reservations
 */
record KeySnapshot(
        long timeMillis,
        List<StoredKey> inFlight,
        List<StoredKey> completed,
        List<StoredKey> unknown,
        List<StoredResult> results) {}
