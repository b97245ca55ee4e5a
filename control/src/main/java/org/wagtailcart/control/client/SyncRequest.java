package org.wagtailcart.control.client;

import java.util.List;

/**
 * Sent by every process to one control member each second.
 *
 * @param processId name from its settings
 * @param incarnation random number of the process
 * @param role {@code entry} or {@code sidecar}
 * @param host host it runs on
 * @param failureDomain failure domain it runs in
 * @param revision settings revision in force
 * @param fleetVersion fleet version in force
 * @param reports load of the upstreams beside a sidecar, or the demand seen by an entry
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
