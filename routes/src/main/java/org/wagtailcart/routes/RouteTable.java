package org.wagtailcart.routes;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.workspace.WorkspaceTable;

/**
 * Complete routing table. Of several, the one with the highest version is in force.
 *
 * @param version version number assigned by the operator
 * @param routes routes, in no particular order
 * @param services services that the routes refer to
 * @param limits limits on the requests of callers
 * @param workspaces workspaces whose keys callers need, null when callers need no key
 */
public record RouteTable(
        long version,
        List<Route> routes,
        List<ServiceSpec> services,
        RequestLimits limits,
        @Nullable WorkspaceTable workspaces) {
    /** Table of a process that has not received one yet. */
    public static final RouteTable EMPTY = new RouteTable(0, List.of(), List.of(), RequestLimits.DEFAULT, null);
}
