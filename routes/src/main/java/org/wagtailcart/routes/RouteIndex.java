package org.wagtailcart.routes;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.wagtailcart.workspace.WorkspaceAuthenticator;

/** Index of one routing table that finds the route of a request by host and longest path prefix. Immutable. */
public final class RouteIndex {
    private final RouteTable table;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, Long> shortestTargetMillisByService;
    private final Optional<WorkspaceAuthenticator> authenticator;

    /** Builds the index of a table. */
    public RouteIndex(RouteTable table) {
        this.table = table;
        this.authenticator = Optional.ofNullable(table.workspaces()).map(WorkspaceAuthenticator::new);
        this.routesByHost = table.routes().stream()
                .sorted(Comparator.comparing(
                        (Route route) -> -route.pathPrefix().length()))
                .collect(Collectors.groupingBy(route -> route.hostName().toLowerCase(Locale.ROOT)));
        this.shortestTargetMillisByService = table.routes().stream()
                .filter(route -> route.targetLatencyMillis() > 0)
                .flatMap(route ->
                        route.splits().stream().map(split -> Map.entry(split.service(), route.targetLatencyMillis())))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, Math::min));
    }

    /** Returns the indexed table. */
    public RouteTable table() {
        return table;
    }

    /** Returns the authenticator of the table's workspaces, empty if callers need no key. */
    public Optional<WorkspaceAuthenticator> authenticator() {
        return authenticator;
    }

    /** Returns the route of the host with the longest prefix of the path, or empty when none matches. */
    public Optional<Route> find(String hostHeader, String path) {
        String host = hostHeader.replaceFirst(":[0-9]+$", "").toLowerCase(Locale.ROOT);
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns the shortest target latency of the routes that use a service, the largest long value if none has one. */
    public long shortestTargetMillis(String service) {
        return shortestTargetMillisByService.getOrDefault(service, Long.MAX_VALUE);
    }

    /**
     * Returns the service of a request, by the weights of the route's splits.
     *
     * @param fraction position of the request in the sum of the weights, 0 (inclusive) to 1 (exclusive)
     */
    public static String pickService(Route route, double fraction) {
        long sum = route.splits().stream().mapToLong(TrafficSplit::weight).sum();
        long remaining = (long) (fraction * sum);
        for (TrafficSplit split : route.splits()) {
            if (remaining < split.weight()) {
                return split.service();
            }
            remaining -= split.weight();
        }
        return route.splits().get(route.splits().size() - 1).service();
    }
}
