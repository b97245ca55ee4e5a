package org.wagtailcart.routes;

import java.util.Arrays;
import java.util.List;

/** Routing tables for tests. */
final class Tables {
    private Tables() {}

    static Route route(String name, String host, String prefix, long timeoutMillis, TrafficSplit... splits) {
        return new Route(
                name, host, prefix, RouteKind.SAFE, timeoutMillis, 100, 0, List.of(splits), 2, false, false, 0, false);
    }

    static RouteTable table(long version, Route... routes) {
        return new RouteTable(
                version,
                Arrays.asList(routes),
                List.of(new ServiceSpec("stock", "/health", 96, null), new ServiceSpec("desk", "/health", 96, null)),
                RequestLimits.DEFAULT,
                null);
    }
}
