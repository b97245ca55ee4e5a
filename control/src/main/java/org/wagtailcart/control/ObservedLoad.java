package org.wagtailcart.control;

import org.wagtailcart.control.client.LoadReport;

/**
 * A load report with its source.
 *
 * @param processId process that reported
 * @param role {@code entry} for demand, {@code sidecar} for load
 * @param failureDomain failure domain of the process
 * @param fleetVersion fleet version the process had in force
 * @param receivedAtMillis monotonic time at which the leader received it
 * @param report the report
 */
public record ObservedLoad(
        String processId,
        String role,
        String failureDomain,
        long fleetVersion,
        long receivedAtMillis,
        LoadReport report) {}
