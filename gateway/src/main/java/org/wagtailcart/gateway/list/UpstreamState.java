package org.wagtailcart.gateway.list;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;

/**
 * Snapshot of what a gateway knows of an upstream, for operators.
 *
 * @param instanceId instance id of the upstream process
 * @param service service that it runs
 * @param address its listen address
 * @param role role of an engine, null for a plain service or while the engine changes its role
 * @param softwareVersion version of its software, empty if it is not known
 * @param leaving whether it is leaving, according to the host list or to itself
 * @param refusesForMillis time for which it has asked for no requests
 * @param available whether it receives new requests
 * @param inFlight requests of all gateways that are in flight at it
 * @param tokensPerMilli prompt tokens that an engine has prefilled in a millisecond when its queue was short, 0 for a plain
 *     service
 * @param rateSamples recent prefills of this gateway from which its rate was learned
 */
public record UpstreamState(
        String instanceId,
        String service,
        Address address,
        @Nullable EngineRole role,
        String softwareVersion,
        boolean leaving,
        long refusesForMillis,
        boolean available,
        int inFlight,
        double tokensPerMilli,
        int rateSamples) {}
