package org.wagtailcart.control.client;

/**
 * What a process says of itself in each sync.
 *
 * @param processId name from its settings
 * @param incarnation random number of the process
 * @param role {@code entry} or {@code sidecar}
 * @param host host it runs on
 * @param failureDomain failure domain it runs in
 */
public record ProcessIdentity(String processId, long incarnation, String role, String host, String failureDomain) {}
