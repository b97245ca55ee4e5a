package org.wagtailcart.routes;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that match the wrong route, and against splits that ignore their weights. */
class RouteIndexTest {
    private final RouteIndex index = new RouteIndex(Tables.table(
            1,
            Tables.route("short", "h.example", "/a/", 100, new TrafficSplit("stock", 1)),
            Tables.route(
                    "long", "h.example", "/a/b/", 100, new TrafficSplit("stock", 90), new TrafficSplit("desk", 10)),
            Tables.route("other", "k.example", "/", 100, new TrafficSplit("stock", 1))));

    @ParameterizedTest
    @CsvSource({
        "h.example, /a/x, short",
        "h.example, /a/b/x, long",
        "H.Example:8080, /a/b/, long",
        "h.example, /ab/x, none",
        "k.example, /anything, other",
        "unknown, /a/x, none",
    })
    void theLongestPrefixOfTheHostWins(String host, String path, String name) {
        assertThat(index.find(host, path).map(Route::name).orElse("none")).isEqualTo(name);
    }

    @ParameterizedTest
    @CsvSource({"0.0, stock", "0.89, stock", "0.90, desk", "0.999, desk"})
    void weightsDivideTheRequests(double fraction, String service) {
        Route route = index.find("h.example", "/a/b/x").orElseThrow();
        assertThat(RouteIndex.pickService(route, fraction)).isEqualTo(service);
    }

    /** Guards against a target of 0, which means none, and against a split that is left out. */
    @ParameterizedTest
    @CsvSource({"stock, 300", "desk, 800", "idle, 9223372036854775807", "unknown, 9223372036854775807"})
    void shortestTargetIsThatOfAllRoutesOfTheService(String service, long expectedMillis) {
        RouteIndex targets = new RouteIndex(Tables.table(
                1,
                Tables.routeWithTarget("a", 300, new TrafficSplit("stock", 1)),
                Tables.routeWithTarget("b", 800, new TrafficSplit("stock", 1), new TrafficSplit("desk", 9)),
                Tables.routeWithTarget("c", 0, new TrafficSplit("stock", 1), new TrafficSplit("idle", 1))));
        assertThat(targets.shortestTargetMillis(service)).isEqualTo(expectedMillis);
    }
}
