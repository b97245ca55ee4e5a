package org.wagtailcart.routes;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** Finds the route and the service of a request in one table. Immutable. */
public final class RouteIndex {
    private final RouteTable table;
    private final Map<String, List<Route>> routesByHost;

    /** Builds the index of a table. */
    public RouteIndex(RouteTable table) {
        this.table = table;
        this.routesByHost = table.routes().stream()
                .sorted(Comparator.comparing(
                        (Route route) -> -route.pathPrefix().length()))
                .collect(Collectors.groupingBy(route -> route.hostName().toLowerCase(Locale.ROOT)));
    }

    /** Returns the table. */
    public RouteTable table() {
        return table;
    }

    /** Returns the route with the longest prefix that begins the path. */
    public Optional<Route> find(String hostHeader, String path) {
        String host = hostHeader.replaceFirst(":[0-9]+$", "").toLowerCase(Locale.ROOT);
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Picks the service of a request.
     *
     * @param fraction where the request falls among the weights, 0 (inclusive) to 1 (exclusive)
     */
    public static String pickService(Route route, double fraction) {
        long sum = route.splits().stream().mapToLong(TrafficSplit::weight).sum();
        long left = (long) (fraction * sum);
        for (TrafficSplit split : route.splits()) {
            if (left < split.weight()) {
                return split.service();
            }
            left -= split.weight();
        }
        return route.splits().get(route.splits().size() - 1).service();
    }
}
