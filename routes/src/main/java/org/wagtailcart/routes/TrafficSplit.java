package org.wagtailcart.routes;

/**
 * Share of a route's requests that a service gets.
 *
 * @param service name of the service
 * @param weight share relative to the other weights of the route
 */
public record TrafficSplit(String service, int weight) {}
