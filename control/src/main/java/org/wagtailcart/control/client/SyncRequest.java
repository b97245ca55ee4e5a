package org.wagtailcart.control.client;

import java.util.List;

/**
 * Request of a process for changes of settings and fleet, with its load reports. Sent to one control member each
 * second.
 *
 * @param processId process id from its settings
 * @param incarnation random number drawn when the process starts
 * @param role {@code entry} or {@code sidecar}
 * @param host host on which it runs
 * @param failureDomain failure domain in which it runs
 * @param revision settings revision in force
 * @param fleetVersion fleet version in force
 * @param reports load of the upstreams of a sidecar, or the demand that an entry receives
 */
public record SyncRequest(
        String processId,
        long incarnation,
        String role,
        String host,
        String failureDomain,
        long revision,
        long fleetVersion,
        List<LoadReport> reports) {}
