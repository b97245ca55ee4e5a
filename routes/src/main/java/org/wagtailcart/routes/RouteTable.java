package org.wagtailcart.routes;

import java.util.List;

/**
 * Complete routing table. The highest version is in force.
 *
 * @param version number given by the operator
 * @param routes rules, in no particular order
 * @param services services that the routes name
 * @param limits limits on requests
 */
public record RouteTable(long version, List<Route> routes, List<ServiceSpec> services, RequestLimits limits) {
    /** Table of a process that has not learned any yet. */
    public static final RouteTable EMPTY = new RouteTable(0, List.of(), List.of(), RequestLimits.DEFAULT);
}
