package org.wagtailcart.gateway;

import java.util.List;
import org.wagtailcart.common.Address;
import org.wagtailcart.policy.placement.Location;

/**
 * Process settings of a gateway.
 *
 * @param processId name of the process
 * @param location where it runs
 * @param callerAddress listener for callers
 * @param readyAddress listener for the load balancer's question whether it is ready
 * @param controlSeeds peer addresses at which control members may be found
 * @param retryRatio retries of a service for each request, of all gateways together
 * @param retryReserve retries of a service beyond that, of all gateways together
 * @param retryWindowMillis window over which both are counted
 * @param shutdownGraceMillis time for which the listener keeps taking new work after readiness fails
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
        long shutdownGraceMillis) {}
