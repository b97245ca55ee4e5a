package org.wagtailcart.sidecar;

import org.wagtailcart.common.Address;
import org.wagtailcart.sidecar.order.OrderTiming;
import org.wagtailcart.sidecar.upstream.UpstreamOptions;

/**
 * Options of a sidecar.
 *
 * @param sidecarId name from the process settings; the settings tree assigns upstreams to it by this name
 * @param address fixed peer address, equal to the one in the settings tree
 * @param incarnation random number that identifies this run of the process
 * @param queueLimit requests that may be queued for one upstream
 * @param revisionWaitMillis longest time that a request with a newer settings revision is held for a sync
 * @param drainLimitMillis time until the streams of a leaving engine are aborted, unless the settings tree sets one
 * @param ledgerCapacity finished non-idempotent attempts kept in the ledger
 * @param ledgerCapacityBytes total bytes of response bodies kept in the ledger
 * @param maxRecordedBodyBytes largest response body that is recorded
 * @param upstream timeouts of requests to upstreams
 * @param order timing of orders
 */
public record SidecarOptions(
        String sidecarId,
        Address address,
        long incarnation,
        int queueLimit,
        long revisionWaitMillis,
        long drainLimitMillis,
        int ledgerCapacity,
        long ledgerCapacityBytes,
        int maxRecordedBodyBytes,
        UpstreamOptions upstream,
        OrderTiming order) {
    /** Returns the production options. */
    public static SidecarOptions standard(String sidecarId, Address address, long incarnation) {
        // The queue only absorbs requests sent before entries observe a lowered limit; the main queue is at the entry.
        return new SidecarOptions(
                sidecarId,
                address,
                incarnation,
                32,
                2_000,
                30_000,
                20_000,
                4 << 20,
                64 << 10,
                UpstreamOptions.standard(),
                OrderTiming.standard());
    }
}
