package org.wagtailcart.control;

import org.wagtailcart.control.client.LoadReport;

/**
 * Load report together with its source.
 *
 * @param processId process that sent the report
 * @param role {@code entry} for reports of demand, {@code sidecar} for reports of load
 * @param failureDomain failure domain of the process
 * @param fleetVersion fleet version in force at the process
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
