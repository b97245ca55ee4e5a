package org.wagtailcart.fleet;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.common.UpstreamKind;

/**
 * Immutable view of one upstream that every process receives: its settings and its replicated state.
 *
 * @param upstreamId last segment of its branch path
 * @param version fleet version of the latest change of this view
 * @param kind engine or service
 * @param address address of the upstream; only its sidecar connects to it
 * @param sidecarId its sidecar
 * @param sidecarAddress peer address of the sidecar
 * @param epoch epoch of the sidecar, 0 while none is registered
 * @param failureDomain failure domain
 * @param service service name of a plain service, else empty
 * @param lifecycle lifecycle state
 * @param target configuration of the latest order or of the settings; null for a service
 * @param orderNumber latest order number, 0 for none
 * @param orderState state of that order
 * @param startedOrderNumber order that is started and not finished, 0 for none
 * @param checksFencing whether the engine rejects old fencing tokens
 * @param maxInFlight maximum number of concurrent requests
 */
public record UpstreamView(
        String upstreamId,
        long version,
        UpstreamKind kind,
        Address address,
        String sidecarId,
        Address sidecarAddress,
        long epoch,
        String failureDomain,
        String service,
        Lifecycle lifecycle,
        @Nullable EngineTarget target,
        long orderNumber,
        OrderState orderState,
        long startedOrderNumber,
        boolean checksFencing,
        int maxInFlight) {
    /**
     * Returns whether the upstream accepts new requests: it is active, its sidecar is registered, and no order is
     * issued or started.
     */
    public boolean acceptsNewRequests() {
        return lifecycle.acceptsNewRequests()
                && epoch > 0
                && startedOrderNumber == 0
                && orderState != OrderState.ISSUED;
    }
}
