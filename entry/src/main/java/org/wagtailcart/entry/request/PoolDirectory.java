package org.wagtailcart.entry.request;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsTree;
import org.wagtailcart.settings.WorkspaceKeyDigests;
import org.wagtailcart.workspace.KeyDigest;
import org.wagtailcart.workspace.Workspace;
import org.wagtailcart.workspace.WorkspaceAuthenticator;
import org.wagtailcart.workspace.WorkspaceTable;

/** Immutable index of pools and their settings, rebuilt when the settings or the upstreams change. */
public final class PoolDirectory {
    private static final String UPSTREAMS = "/upstreams/";
    private static final String WORKSPACES = "/workspaces/";

    private final SettingsTree settings;
    private final Optional<WorkspaceAuthenticator> authenticator;
    private final Map<String, Integer> weights;
    private final Map<String, Pool> engines;
    private final Map<String, Pool> services;

    /**
     * Pool of a model or service.
     *
     * @param name model or service name
     * @param branch settings branch of one of its upstreams
     * @param atMostOnceRoutes routes whose calls run at most once
     */
    private record Pool(String name, String branch, List<AtMostOnceRoute> atMostOnceRoutes) {}

    /**
     * Matcher of calls that run at most once.
     *
     * @param method HTTP method
     * @param pathPrefix prefix of the path
     */
    private record AtMostOnceRoute(String method, String pathPrefix) {
        boolean matches(String requestMethod, String requestPath) {
            return method.equalsIgnoreCase(requestMethod) && requestPath.startsWith(pathPrefix);
        }
    }

    /** Builds the index from settings and upstreams. */
    public PoolDirectory(SettingsTree settings, Collection<UpstreamView> upstreams) {
        this.settings = settings;
        this.authenticator = buildAuthenticator(settings);
        this.weights = buildWeights(settings);
        Map<String, String> branchById = settings.branches().stream()
                .filter(path -> path.startsWith(UPSTREAMS))
                .collect(Collectors.toMap(PoolDirectory::lastSegment, Function.identity(), (a, b) -> b));
        engines = buildPools(upstreams, UpstreamKind.ENGINE, branchById);
        services = buildPools(upstreams, UpstreamKind.SERVICE, branchById);
    }

    private static Optional<WorkspaceAuthenticator> buildAuthenticator(SettingsTree settings) {
        SortedMap<String, List<String>> digests = WorkspaceKeyDigests.byWorkspace(settings);
        if (digests.isEmpty()) {
            return Optional.empty();
        }
        byte[] salt =
                WorkspaceKeyDigests.salt(settings).map(KeyDigest::parseSalt).orElseGet(() -> new byte[0]);
        List<Workspace> workspaces = digests.entrySet().stream()
                .map(entry -> new Workspace(entry.getKey(), entry.getValue(), null))
                .toList();
        return Optional.of(new WorkspaceAuthenticator(new WorkspaceTable(salt, workspaces)));
    }

    private static Map<String, Integer> buildWeights(SettingsTree settings) {
        return settings.branches().stream()
                .filter(path -> path.startsWith(WORKSPACES))
                .filter(path ->
                        !settings.ownValues(path).getOrDefault("weight", "1").equals("1"))
                .collect(Collectors.toMap(
                        PoolDirectory::lastSegment,
                        path -> Integer.valueOf(settings.ownValues(path).getOrDefault("weight", "1"))));
    }

    /** Returns the weights other than 1, by workspace. */
    public Map<String, Integer> weights() {
        return weights;
    }

    /** Returns the authenticator of callers, empty if the settings have no key digests. */
    public Optional<WorkspaceAuthenticator> authenticator() {
        return authenticator;
    }

    /** Returns the name of the model or service of an upstream. */
    public static Optional<String> poolOf(UpstreamView upstream) {
        return upstream.kind() == UpstreamKind.ENGINE
                ? Optional.ofNullable(upstream.target()).map(EngineTarget::model)
                : Optional.of(upstream.service());
    }

    /** Returns the names of the models in alphabetical order. */
    public List<String> models() {
        return List.copyOf(engines.keySet());
    }

    /** Returns whether a pool has an upstream whose lifecycle state is not final. */
    public boolean hasPool(UpstreamKind kind, String pool) {
        return poolsOf(kind).containsKey(pool);
    }

    /**
     * Returns whether a call to a service must run at most once.
     *
     * @param path path without escapes, empty segments and dot segments, so that no spelling of it bypasses the list
     */
    public boolean runsAtMostOnce(String service, String method, String path) {
        return Optional.ofNullable(services.get(service)).stream()
                .flatMap(pool -> pool.atMostOnceRoutes().stream())
                .anyMatch(route -> route.matches(method, path));
    }

    /** Returns a setting of a request: the value of its workspace, else of its pool, else of the root. */
    public Optional<String> setting(String workspace, UpstreamKind kind, String pool, String key) {
        return workspaceSetting(workspace, key).or(() -> poolSetting(kind, pool, key));
    }

    /** Returns a setting of a pool: its own value, else the value of the root. */
    public Optional<String> poolSetting(UpstreamKind kind, String pool, String key) {
        String branch =
                Optional.ofNullable(poolsOf(kind).get(pool)).map(Pool::branch).orElse("/");
        return settings.effectiveValue(branch, key);
    }

    /** Returns whether a workspace has a settings branch of its own. */
    public boolean hasWorkspace(String workspace) {
        return !settings.ownValues(WORKSPACES + workspace).isEmpty();
    }

    /** Returns the effective value of a workspace setting, inherited values included. */
    public Optional<String> effectiveWorkspaceSetting(String workspace, String key) {
        return settings.effectiveValue(WORKSPACES + workspace, key);
    }

    private Optional<String> workspaceSetting(String workspace, String key) {
        return Stream.of(WORKSPACES + workspace, "/workspaces")
                .flatMap(
                        branch -> Optional.ofNullable(settings.ownValues(branch).get(key)).stream())
                .findFirst();
    }

    /** Returns the settings revision of this index. */
    public long revision() {
        return settings.revision();
    }

    private Map<String, Pool> poolsOf(UpstreamKind kind) {
        return kind == UpstreamKind.ENGINE ? engines : services;
    }

    private Map<String, Pool> buildPools(
            Collection<UpstreamView> upstreams, UpstreamKind kind, Map<String, String> branchById) {
        Map<String, Pool> pools = new TreeMap<>();
        upstreams.stream()
                .filter(upstream -> upstream.kind() == kind)
                .filter(upstream -> !upstream.lifecycle().isFinal())
                .forEach(upstream -> poolOf(upstream)
                        .ifPresent(name -> pools.merge(
                                name,
                                buildPool(name, branchById.getOrDefault(upstream.upstreamId(), "/")),
                                PoolDirectory::merged)));
        return pools;
    }

    private Pool buildPool(String name, String branch) {
        String list = settings.effectiveValue(branch, "non-idempotent").orElse("");
        List<AtMostOnceRoute> routes = Stream.of(list.split(",", -1))
                .map(String::strip)
                .filter(item -> item.indexOf(' ') > 0)
                .map(PoolDirectory::parseRoute)
                .toList();
        return new Pool(name, branch, routes);
    }

    /** Merges the pools of two replicas; a call that any replica lists runs at most once at all of them. */
    private static Pool merged(Pool a, Pool b) {
        List<AtMostOnceRoute> routes = Stream.concat(a.atMostOnceRoutes().stream(), b.atMostOnceRoutes().stream())
                .distinct()
                .toList();
        return new Pool(a.name(), a.branch(), routes);
    }

    private static AtMostOnceRoute parseRoute(String item) {
        int space = item.indexOf(' ');
        return new AtMostOnceRoute(
                item.substring(0, space).toUpperCase(Locale.ROOT),
                item.substring(space).strip());
    }

    private static String lastSegment(String path) {
        return path.substring(path.lastIndexOf('/') + 1);
    }
}
