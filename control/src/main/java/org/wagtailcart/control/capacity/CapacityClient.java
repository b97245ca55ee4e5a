package org.wagtailcart.control.capacity;

import org.wagtailcart.policy.capacity.OrderResult;

/** Client of the platform that accepts orders for the number of replicas. */
@FunctionalInterface
public interface CapacityClient {
    /**
     * Sends an order and waits for the response.
     *
     * @param holder name of the process that orders
     * @param fencingToken token of its lease
     * @param sendByMillis monotonic time after which nothing is sent
     */
    OrderResult order(String holder, long fencingToken, String service, String domain, int replicas, long sendByMillis);
}
