package org.wagtailcart.control.client;

/**
 * Identity of a process, sent with each sync.
 *
 * @param processId process id from its settings
 * @param incarnation random number drawn when the process starts
 * @param role {@code entry} or {@code sidecar}
 * @param host host on which it runs
 * @param failureDomain failure domain in which it runs
 */
public record ProcessIdentity(String processId, long incarnation, String role, String host, String failureDomain) {}
