package org.wagtailcart.gateway;

import java.util.List;
import java.util.OptionalLong;
import org.wagtailcart.common.Address;
import org.wagtailcart.policy.placement.Location;
import org.wagtailcart.workspace.RevocationPolicy;

/**
 * Process-level configuration of a gateway.
 *
 * @param processId identity of the gateway process
 * @param location failure domain and region in which the gateway runs
 * @param callerAddress listen address for requests of callers
 * @param readyAddress listen address for the load balancer's readiness probe
 * @param controlSeeds peer addresses at which control members are looked up
 * @param retryRatio retries allowed per request of a service, summed over all gateways
 * @param retryReserve additional retries allowed per service and window, summed over all gateways
 * @param retryWindowMillis window over which requests and retries are counted
 * @param shutdownGraceMillis time for which new requests are still accepted after the readiness probe fails
 * @param shutdownLimitMillis time after the start of a shutdown at which the process is killed, empty if it is not
 * @param revocation policy on API keys while the gateway is out of contact
 * @param usageWindowMillis length of the windows for which requests are counted, empty if they are not
 */
public record GatewayOptions(
        String processId,
        Location location,
        Address callerAddress,
        Address readyAddress,
        List<Address> controlSeeds,
        double retryRatio,
        int retryReserve,
        long retryWindowMillis,
        long shutdownGraceMillis,
        OptionalLong shutdownLimitMillis,
        RevocationPolicy revocation,
        OptionalLong usageWindowMillis) {}
