package org.wagtailcart.directory;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;

/**
 * One upstream as the host list names it.
 *
 * @param instanceId identity of its process; another process at the same address has another one
 * @param service service it belongs to
 * @param address where it listens
 * @param failureDomain failure domain it runs in
 * @param maxInFlight requests that it runs at once
 * @param leaving whether it is about to stop and may get no new request
 * @param role role of an engine, null for a plain service or while the engine changes its role
 */
public record ListedUpstream(
        String instanceId,
        String service,
        Address address,
        String failureDomain,
        int maxInFlight,
        boolean leaving,
        @Nullable EngineRole role) {
    /** Returns this upstream while it changes its role and takes no requests. */
    public ListedUpstream withoutRole() {
        return new ListedUpstream(instanceId, service, address, failureDomain, maxInFlight, leaving, null);
    }
}
