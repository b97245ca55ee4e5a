package org.wagtailcart.routes;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Validator of routing tables. Stateless. */
public final class RouteTableValidator {
    private RouteTableValidator() {}

    /**
     * Validates a table.
     *
     * @throws WagtailcartException with {@link ResultCode#ROUTES_INVALID}; the message names the route and the reason
     */
    public static void validate(RouteTable table) {
        if (table.version() <= 0) {
            throw invalid("version " + table.version() + " is not positive");
        }
        Set<String> services = table.services().stream().map(ServiceSpec::name).collect(Collectors.toSet());
        if (services.size() != table.services().size()) {
            throw invalid("two services have the same name");
        }
        Set<String> hostPrefixes = new HashSet<>();
        table.routes().forEach(route -> {
            if (!hostPrefixes.add(route.hostName() + " " + route.pathPrefix())) {
                throw invalid("route " + route.name() + " shares host " + route.hostName() + " and prefix "
                        + route.pathPrefix() + " with another route");
            }
            findError(route, services).ifPresent(reason -> {
                throw invalid("route " + route.name() + ": " + reason);
            });
        });
    }

    private static Optional<String> findError(Route route, Set<String> services) {
        if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
            return Optional.of("path prefix " + route.pathPrefix() + " does not begin and end with a slash");
        }
        if (route.timeoutMillis() <= 0) {
            return Optional.of("timeout " + route.timeoutMillis() + " ms is not positive");
        }
        if (route.maxAttempts() < 1) {
            return Optional.of("maximum attempts " + route.maxAttempts() + " is below 1");
        }
        if (route.splits().stream().anyMatch(split -> split.weight() < 0)
                || route.splits().stream().mapToLong(TrafficSplit::weight).sum() <= 0) {
            return Optional.of("split weights are negative or add up to 0");
        }
        return route.splits().stream()
                .filter(split -> !services.contains(split.service()))
                .map(split -> "service " + split.service() + " is unknown")
                .findFirst();
    }

    private static WagtailcartException invalid(String reason) {
        return new WagtailcartException(ResultCode.ROUTES_INVALID, reason);
    }
}
