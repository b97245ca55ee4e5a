package org.wagtailcart.sidecar;

import java.util.List;
import org.wagtailcart.sidecar.order.OrderExecutor;

/**
 * Diagnostic state dump of a sidecar.
 *
 * @param sidecarId name of the sidecar
 * @param epoch epoch of the process, 0 while it is not registered
 * @param superseded whether another process of this sidecar has registered later
 * @param draining whether the sidecar rejects new requests before its shutdown
 * @param attemptsRecorded non-idempotent attempts in the ledger
 * @param floor highest attempt number at which an attempt missing in the ledger may have run
 * @param upstreams state of each upstream of the sidecar
 */
public record SidecarDump(
        String sidecarId,
        long epoch,
        boolean superseded,
        boolean draining,
        int attemptsRecorded,
        long floor,
        List<Upstream> upstreams) {
    /**
     * State of one upstream.
     *
     * @param upstreamId id of the upstream
     * @param reachable whether the latest poll succeeded
     * @param running requests running at the upstream
     * @param queued requests queued in the sidecar
     * @param limit concurrency limit in force
     * @param orderPhase phase of its current order
     */
    public record Upstream(
            String upstreamId, boolean reachable, int running, int queued, int limit, OrderExecutor.Phase orderPhase) {}
}
