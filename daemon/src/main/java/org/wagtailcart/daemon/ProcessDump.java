package org.wagtailcart.daemon;

import java.util.List;

/**
 * Snapshot of the state of a process for operators.
 *
 * @param id id of the process
 * @param host host that the process runs on
 * @param failureDomain failure domain of the host
 * @param incarnation random number that identifies this run of the process
 * @param peerConnections open connections to other processes
 * @param roles state of each role
 */
record ProcessDump(
        String id, String host, String failureDomain, long incarnation, int peerConnections, List<RoleDump> roles) {
    /**
     * Snapshot of the state of one role.
     *
     * @param role simple class name of the role
     * @param ready whether a load balancer may send new requests to it
     * @param state state that the role reports
     */
    record RoleDump(String role, boolean ready, Record state) {}
}
