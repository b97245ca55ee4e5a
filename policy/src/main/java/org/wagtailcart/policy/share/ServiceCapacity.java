package org.wagtailcart.policy.share;

/**
 * Capacity of a contended service, as observed from the requests that its upstreams accept.
 *
 * @param service the service
 * @param costPerSecond cost that all its upstreams together accept
 */
public record ServiceCapacity(String service, double costPerSecond) {}
