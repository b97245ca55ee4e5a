package org.wagtailcart.daemon;

import java.util.List;

/**
 * State of a process for operators.
 *
 * @param id name of the process
 * @param host host it runs on
 * @param failureDomain failure domain it runs in
 * @param incarnation random number of this run
 * @param peerConnections open connections to other processes
 * @param roles state of each role
 */
record ProcessDump(
        String id, String host, String failureDomain, long incarnation, int peerConnections, List<RoleDump> roles) {
    /**
     * State of one role.
     *
     * @param role class of the role
     * @param ready whether a load balancer may send it new work
     * @param state what the role says of itself
     */
    record RoleDump(String role, boolean ready, Record state) {}
}
