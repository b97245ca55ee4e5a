package org.wagtailcart.routes;

import java.util.Arrays;
import java.util.List;
import org.wagtailcart.workspace.Workspace;
import org.wagtailcart.workspace.WorkspaceTable;

/** Routing tables for tests. */
final class Tables {
    private Tables() {}

    static Route route(String name, String host, String prefix, long timeoutMillis, TrafficSplit... splits) {
        return new Route(
                name, host, prefix, RouteKind.SAFE, timeoutMillis, 100, 0, List.of(splits), 2, false, false, 0, false);
    }

    static Route routeWithTarget(String name, long targetLatencyMillis, TrafficSplit... splits) {
        return new Route(
                name,
                "h.example",
                "/" + name + "/",
                RouteKind.SAFE,
                2_000,
                targetLatencyMillis,
                0,
                List.of(splits),
                2,
                false,
                false,
                0,
                false);
    }

    static RouteTable withWorkspaces(Workspace... workspaces) {
        return new RouteTable(
                1,
                List.of(),
                List.of(),
                RequestLimits.DEFAULT,
                new WorkspaceTable(new byte[] {1}, List.of(workspaces)));
    }

    static RouteTable table(long version, Route... routes) {
        return new RouteTable(
                version,
                Arrays.asList(routes),
                List.of(
                        new ServiceSpec("stock", "/health", 96, null, null),
                        new ServiceSpec("desk", "/health", 96, null, null)),
                RequestLimits.DEFAULT,
                null);
    }
}
