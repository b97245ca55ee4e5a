package org.wagtailcart.gateway;

import java.util.List;
import org.wagtailcart.control.client.OutstandingWork;

/**
 * State of a gateway for operators.
 *
 * @param ready whether a load balancer may send it new work
 * @param draining whether it is shutting down
 * @param tableVersion version of the routing table in force, 0 for none
 * @param tableAgeMillis time since a quorum confirmed it
 * @param listAgeMillis time since the host list in force was read
 * @param gateways gateways that share the retry budget
 * @param openRequests requests without a complete response
 * @param retriesLeft least number of retries left at any service
 * @param work what is in flight at the upstreams
 */
public record GatewayDump(
        boolean ready,
        boolean draining,
        long tableVersion,
        long tableAgeMillis,
        long listAgeMillis,
        int gateways,
        int openRequests,
        int retriesLeft,
        List<OutstandingWork> work) {}
