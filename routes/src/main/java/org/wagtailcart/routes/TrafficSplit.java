package org.wagtailcart.routes;

/**
 * Weighted share of a route's requests that goes to one service.
 *
 * @param service name of the service
 * @param weight weight relative to the sum of the route's weights
 */
public record TrafficSplit(String service, int weight) {}
