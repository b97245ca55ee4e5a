package org.wagtailcart.control.client;

/**
 * A process as the leader knows it from its latest sync.
 *
 * @param processId name from its settings
 * @param role {@code entry} or {@code sidecar}
 * @param host host it runs on
 * @param failureDomain failure domain it runs in
 * @param revision settings revision it has in force
 * @param fleetVersion fleet version it has in force
 * @param ageMillis time since the leader heard of the sync
 */
public record ProcessStatus(
        String processId,
        String role,
        String host,
        String failureDomain,
        long revision,
        long fleetVersion,
        long ageMillis) {}
