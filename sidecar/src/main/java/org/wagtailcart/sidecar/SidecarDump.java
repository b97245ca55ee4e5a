package org.wagtailcart.sidecar;

import java.util.List;
import org.wagtailcart.sidecar.order.OrderExecutor;

/**
 * State of a sidecar for an operator.
 *
 * @param sidecarId name
 * @param epoch epoch, 0 while not registered
 * @param superseded whether a later registration exists
 * @param draining whether it takes no new work
 * @param attemptsRecorded attempts in the ledger
 * @param floor attempt number at or below which an unknown attempt may have run
 * @param upstreams its upstreams
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
     * One upstream.
     *
     * @param upstreamId upstream
     * @param reachable whether it answers
     * @param running requests running
     * @param queued requests waiting
     * @param limit requests it may run at once now
     * @param orderPhase where its order stands
     */
    public record Upstream(
            String upstreamId, boolean reachable, int running, int queued, int limit, OrderExecutor.Phase orderPhase) {}
}
