package org.wagtailcart.sidecar;

import org.wagtailcart.common.Address;
import org.wagtailcart.sidecar.order.OrderTiming;
import org.wagtailcart.sidecar.upstream.UpstreamOptions;

/**
 * Options of a sidecar.
 *
 * @param sidecarId name from the process settings; upstreams name it in the settings tree
 * @param address fixed peer address, as the settings tree states it
 * @param incarnation random number of the process
 * @param queueLimit requests that may wait for one upstream
 * @param revisionWaitMillis time that a request with a newer settings revision waits for a sync
 * @param drainLimitMillis time that streams of a leaving engine get, where the settings tree states none
 * @param ledgerCapacity finished non-idempotent attempts remembered
 * @param ledgerCapacityBytes bytes of answers remembered
 * @param maxRecordedBodyBytes largest body of an answer that is remembered
 * @param upstream limits towards upstreams
 * @param order times of the order execution
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
    /** Returns the options of production. */
    public static SidecarOptions standard(String sidecarId, Address address, long incarnation) {
        // The queue only covers the time in which entries learn of a lower limit; the long queue is at the entry.
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
