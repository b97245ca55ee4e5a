package org.wagtailcart.control.client;

/**
 * Status of a process, taken by the leader from its latest sync.
 *
 * @param processId process id from its settings
 * @param role {@code entry} or {@code sidecar}
 * @param host host on which it runs
 * @param failureDomain failure domain in which it runs
 * @param revision settings revision in force at the process
 * @param fleetVersion fleet version in force at the process
 * @param ageMillis time since the leader received the sync
 */
public record ProcessStatus(
        String processId,
        String role,
        String host,
        String failureDomain,
        long revision,
        long fleetVersion,
        long ageMillis) {}
