package org.wagtailcart.directory;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;

/**
 * Entry of the host list: one upstream.
 *
 * @param instanceId identity of its process; another process at the same address has a different one
 * @param service service it belongs to
 * @param address address on which it listens
 * @param failureDomain failure domain it runs in
 * @param maxInFlight maximum number of concurrent requests
 * @param leaving whether it is about to stop and must receive no new requests
 * @param role role of an engine, null for a plain service or while the engine changes its role
 * @param softwareVersion version of its software, empty if it is not known
 */
public record ListedUpstream(
        String instanceId,
        String service,
        Address address,
        String failureDomain,
        int maxInFlight,
        boolean leaving,
        @Nullable EngineRole role,
        String softwareVersion) {
    /** A control member of an older release sends no version. */
    public ListedUpstream {
        softwareVersion = Objects.requireNonNullElse(softwareVersion, "");
    }

    /** Creates an entry of an upstream whose software version is not known. */
    public ListedUpstream(
            String instanceId,
            String service,
            Address address,
            String failureDomain,
            int maxInFlight,
            boolean leaving,
            @Nullable EngineRole role) {
        this(instanceId, service, address, failureDomain, maxInFlight, leaving, role, "");
    }

    /** Returns a copy without a role, for an engine that changes its role and accepts no requests. */
    public ListedUpstream withoutRole() {
        return new ListedUpstream(
                instanceId, service, address, failureDomain, maxInFlight, leaving, null, softwareVersion);
    }
}
