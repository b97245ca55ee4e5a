package org.wagtailcart.routes;

import java.util.List;

/**
 * Complete routing table. Of several, the one with the highest version is in force.
 *
 * @param version version number assigned by the operator
 * @param routes routes, in no particular order
 * @param services services that the routes refer to
 * @param limits limits on the requests of callers
 */
public record RouteTable(long version, List<Route> routes, List<ServiceSpec> services, RequestLimits limits) {
    /** Table of a process that has not received one yet. */
    public static final RouteTable EMPTY = new RouteTable(0, List.of(), List.of(), RequestLimits.DEFAULT);
}
