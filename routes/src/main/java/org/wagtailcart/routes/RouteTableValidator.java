package org.wagtailcart.routes;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.workspace.Workspace;
import org.wagtailcart.workspace.WorkspaceTable;

/** Validator of routing tables. Stateless. */
public final class RouteTableValidator {
    /** Names of workspaces are sent in header fields. */
    private static final Pattern NAME = Pattern.compile("[!-~]([ -~]*[!-~])?");

    private RouteTableValidator() {}

    /**
     * Validates a table.
     *
     * @throws WagtailcartException with {@link ResultCode#ROUTES_INVALID}; the message names the route or
     *     the workspaces, and the reason, but no key
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
        WorkspaceTable workspaces = table.workspaces();
        if (workspaces != null) {
            validate(workspaces);
        }
    }

    private static void validate(WorkspaceTable table) {
        Map<String, Workspace> workspacesByDigest = new HashMap<>();
        table.workspaces().forEach(workspace -> {
            if (!NAME.matcher(workspace.name()).matches()) {
                throw invalid("a workspace has a name with characters that a header field cannot carry");
            }
            findError(workspace).ifPresent(reason -> {
                throw invalid("workspace " + workspace.name() + ": " + reason);
            });
            workspace.keyDigests().stream().distinct().forEach(digest -> {
                Workspace other = workspacesByDigest.putIfAbsent(digest, workspace);
                if (other != null) {
                    throw invalid("workspaces " + other.name() + " and " + workspace.name() + " have the same API key");
                }
            });
        });
    }

    private static Optional<String> findError(Workspace workspace) {
        Integer weight = workspace.weight();
        if (weight != null && !Workspace.isWeight(weight)) {
            return Optional.of("weight " + weight + " is not from 1 to " + Workspace.MAX_WEIGHT);
        }
        Double quota = workspace.quotaPerSecond();
        return quota != null && !Workspace.isQuota(quota)
                ? Optional.of("quota_per_s " + quota + " is not above 0")
                : Optional.empty();
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
