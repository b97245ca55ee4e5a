package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.Regions;
import org.wagtailcart.control.client.FleetReport;
import org.wagtailcart.control.client.GatewayReport;
import org.wagtailcart.control.client.WatchReply;
import org.wagtailcart.control.client.WatchRequest;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.policy.placement.Location;
import org.wagtailcart.routes.EngineSpec;
import org.wagtailcart.routes.RequestLimits;
import org.wagtailcart.routes.Route;
import org.wagtailcart.routes.RouteKind;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.routes.ServiceSpec;
import org.wagtailcart.routes.TrafficSplit;
import org.wagtailcart.testing.TestAddresses;
import org.wagtailcart.usage.UsageBatch;
import org.wagtailcart.workspace.RevocationPolicy;
import org.wagtailcart.workspace.WorkspaceTable;

/** Test harness that runs a gateway with scripted upstreams and an in-process control group that always replies. */
final class GatewayTestHarness implements AutoCloseable {
    private static final String HOST = "h.example";
    private static final long REPLY_DELAY_MILLIS = 20;
    private static final long USAGE_WINDOW_MILLIS = 5_000;
    static final double RETRY_RATIO = 0.2;
    static final int RETRY_RESERVE = 20;

    private final ExecutorService traffic = Executors.newCachedThreadPool();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final HttpClient http = HttpClient.newHttpClient();
    private final List<ListedUpstream> upstreams = new CopyOnWriteArrayList<>();
    private final Address callers = TestAddresses.free();
    private final TestProtocol protocol = new TestProtocol();
    private final GatewayRole role;
    private final MetricRegistry registry = new MetricRegistry();
    private volatile RouteTable table = table(1, null);
    private final TestOriginMember originMember;
    private volatile boolean controlReplies = true;
    private volatile long controlAgeMillis;
    private final long controlMillis;
    private final boolean countsUsage;
    private volatile @Nullable FleetReport fleet;
    /** Cumulative counts of the last poll that had counts of the window. */
    private final Map<Long, Map<String, Long>> countsByWindow = new ConcurrentHashMap<>();

    private final AtomicInteger usageBatches = new AtomicInteger();

    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    GatewayTestHarness() throws IOException {
        this(REPLY_DELAY_MILLIS);
    }

    /** Creates a gateway whose control group replies after the given delay. */
    GatewayTestHarness(long controlMillis) throws IOException {
        this(controlMillis, RETRY_RESERVE, 0, OptionalLong.empty());
    }

    /** Creates a gateway with the given retry reserve. */
    static GatewayTestHarness withReserve(int retryReserve) throws IOException {
        return new GatewayTestHarness(REPLY_DELAY_MILLIS, retryReserve, 0, OptionalLong.empty());
    }

    /** Creates a gateway that is killed some time after the start of a shutdown. */
    static GatewayTestHarness withShutdownLimit(long graceMillis, long limitMillis) throws IOException {
        return new GatewayTestHarness(REPLY_DELAY_MILLIS, RETRY_RESERVE, graceMillis, OptionalLong.of(limitMillis));
    }

    /** Creates a gateway with the given policy on withdrawn keys. */
    static GatewayTestHarness withRevocation(RevocationPolicy revocation) throws IOException {
        return new GatewayTestHarness(
                REPLY_DELAY_MILLIS, RETRY_RESERVE, 0, OptionalLong.empty(), revocation, OptionalLong.empty());
    }

    /** Creates a gateway that counts the requests that upstreams began to run. */
    static GatewayTestHarness withUsage() throws IOException {
        return new GatewayTestHarness(
                REPLY_DELAY_MILLIS,
                RETRY_RESERVE,
                0,
                OptionalLong.empty(),
                RevocationPolicy.LENIENT,
                OptionalLong.of(USAGE_WINDOW_MILLIS));
    }

    private GatewayTestHarness(
            long controlMillis, int retryReserve, long shutdownGraceMillis, OptionalLong shutdownLimitMillis)
            throws IOException {
        this(
                controlMillis,
                retryReserve,
                shutdownGraceMillis,
                shutdownLimitMillis,
                RevocationPolicy.LENIENT,
                OptionalLong.empty());
    }

    private GatewayTestHarness(
            long controlMillis,
            int retryReserve,
            long shutdownGraceMillis,
            OptionalLong shutdownLimitMillis,
            RevocationPolicy revocation,
            OptionalLong usageWindowMillis)
            throws IOException {
        this.controlMillis = controlMillis;
        this.originMember = new TestOriginMember(() -> controlReplies);
        this.countsUsage = usageWindowMillis.isPresent();
        Address ready = TestAddresses.free();
        GatewayOptions options = new GatewayOptions(
                "g",
                new Location("fes", Regions.SINGLE),
                callers,
                ready,
                List.of(new Address("127.0.0.1", 1)),
                RETRY_RATIO,
                retryReserve,
                10_000,
                shutdownGraceMillis,
                shutdownLimitMillis,
                revocation,
                usageWindowMillis);
        role = new GatewayRole(
                options,
                (member, request, timeoutMillis) -> reply(request),
                originMember,
                () -> List.copyOf(upstreams),
                protocol,
                traffic,
                timer,
                registry);
    }

    /** Brings a table into force with the given workspaces, null for none. Requests to the route "safe" need no key. */
    void workspaces(long version, @Nullable WorkspaceTable workspaces) {
        table = table(version, workspaces);
    }

    /** Sets whether the control group replies, and with which age of its last confirmation. */
    void control(boolean replies, long confirmationAgeMillis) {
        controlReplies = replies;
        controlAgeMillis = confirmationAgeMillis;
    }

    /** Waits until the gateway has installed a version of the table. */
    void awaitTable(long version) throws InterruptedException {
        for (int i = 0; i < 1_000 && role.dump().tableVersion() != version; i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(role.dump().tableVersion()).isEqualTo(version);
    }

    /** Returns the control member that keeps the origins of streams. */
    TestOriginMember originMember() {
        return originMember;
    }

    MetricRegistry registry() {
        return registry;
    }

    void add(String id, String service, TestUpstream upstream, @Nullable EngineRole engineRole) {
        add(id, service, upstream.address(), engineRole);
    }

    void add(String id, String service, Address address, @Nullable EngineRole engineRole) {
        add(id, service, address, engineRole, "v1");
    }

    /** Adds an upstream of the given software version. */
    void add(String id, String service, Address address, @Nullable EngineRole engineRole, String version) {
        upstreams.add(new ListedUpstream(id, service, address, "fes", 4, false, engineRole, version));
    }

    /** Lists an upstream as leaving. */
    void markLeaving(String id) {
        upstreams.replaceAll(listed -> listed.instanceId().equals(id)
                ? new ListedUpstream(
                        id,
                        listed.service(),
                        listed.address(),
                        listed.failureDomain(),
                        listed.maxInFlight(),
                        true,
                        listed.role(),
                        listed.softwareVersion())
                : listed);
    }

    /** Lists an engine without a role, as while it changes its role. */
    void removeRole(String id) {
        upstreams.replaceAll(listed -> listed.instanceId().equals(id) ? listed.withoutRole() : listed);
    }

    /** Removes an upstream from the host list. */
    void remove(String id) {
        upstreams.removeIf(listed -> listed.instanceId().equals(id));
    }

    /** Sets what the control group replies about all gateways. */
    void fleet(FleetReport report) {
        fleet = report;
    }

    /** Returns the number of requests that the gateway has reported for each workspace, after it has polled again. */
    Map<String, Long> awaitUsage() throws InterruptedException {
        // A poll that arrives now may have been prepared before the last request; the second one was not.
        int batches = usageBatches.get() + 2;
        for (int i = 0; i < 500 && usageBatches.get() < batches; i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(usageBatches.get()).isAtLeast(batches);
        return countsByWindow.values().stream()
                .flatMap(counts -> counts.entrySet().stream())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, Long::sum));
    }

    /** Waits until the gateway has applied the host list as it stands. */
    void awaitHostList() throws InterruptedException {
        Set<ListedState> expected = upstreams.stream()
                .map(listed -> new ListedState(listed.instanceId(), listed.leaving(), listed.role()))
                .collect(Collectors.toSet());
        for (int i = 0; i < 500 && !appliedStates().equals(expected); i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(appliedStates()).isEqualTo(expected);
    }

    private Set<ListedState> appliedStates() {
        return role.dump().upstreams().stream()
                .map(state -> new ListedState(state.instanceId(), state.leaving(), state.role()))
                .collect(Collectors.toSet());
    }

    private record ListedState(String instanceId, boolean leaving, @Nullable EngineRole role) {}

    void start() throws InterruptedException {
        startUnready();
        for (int i = 0; i < 500 && !role.ready(); i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    /** Starts the gateway without waiting until it is ready. */
    void startUnready() {
        role.start();
    }

    private CompletableFuture<WatchReply> reply(WatchRequest request) {
        if (!controlReplies) {
            return CompletableFuture.failedFuture(new IllegalStateException("partitioned"));
        }
        recordUsage(request.report());
        RouteTable current = table;
        WatchReply reply = new WatchReply(
                request.tableVersion() < current.version() ? current : null,
                current.version(),
                controlAgeMillis,
                "",
                List.of(),
                1,
                List.of(),
                List.of(),
                0,
                0,
                null,
                0,
                0,
                null,
                fleetReport());
        return CompletableFuture.supplyAsync(
                () -> reply, CompletableFuture.delayedExecutor(controlMillis, TimeUnit.MILLISECONDS, traffic));
    }

    /** Keeps the counts of a poll. They are never acknowledged, so each poll has all counts. */
    private void recordUsage(@Nullable GatewayReport report) {
        UsageBatch batch = report == null ? null : report.usage();
        if (batch != null) {
            batch.windows().forEach(counts -> countsByWindow.put(counts.window(), counts.countByWorkspace()));
            usageBatches.incrementAndGet();
        }
    }

    /** Returns the true time for a gateway that counts requests, and otherwise the report that was set. */
    private @Nullable FleetReport fleetReport() {
        return countsUsage ? new FleetReport(System.currentTimeMillis(), 0, List.of(), List.of(), 0, null) : fleet;
    }

    private static RouteTable table(long version, @Nullable WorkspaceTable workspaces) {
        return new RouteTable(
                version,
                List.of(
                        route("safe", RouteKind.SAFE, false),
                        route("unsafe", RouteKind.UNSAFE, false),
                        route("stream", RouteKind.STREAMING, false),
                        route("resumable", RouteKind.STREAMING, true)),
                List.of(
                        new ServiceSpec("stock", "/health", 96, null, null),
                        new ServiceSpec(
                                "brain",
                                "/health",
                                96,
                                new EngineSpec(64, 500_000, 18_432, 240_000, 5_000, 3_000),
                                null)),
                RequestLimits.DEFAULT,
                workspaces);
    }

    private static Route route(String name, RouteKind kind, boolean resumable) {
        String service = kind == RouteKind.STREAMING ? "brain" : "stock";
        return new Route(
                name,
                HOST,
                "/" + name + "/",
                kind,
                5_000,
                100,
                0,
                List.of(new TrafficSplit(service, 1)),
                2,
                kind == RouteKind.STREAMING,
                resumable,
                250,
                name.equals("safe"));
    }

    /** Returns a request with a prompt of the given segments, the last of which is its own. */
    HttpRequest prompt(String route, String id, long callerTimeoutMillis, String... segments) {
        return promptAt(route, "x", id, callerTimeoutMillis, segments);
    }

    /** Returns such a request with a path below the route's prefix. */
    HttpRequest promptAt(String route, String path, String id, long callerTimeoutMillis, String... segments) {
        return requestBuilder(route, id, callerTimeoutMillis)
                .uri(URI.create("http://" + callers + "/" + route + "/" + path))
                .header("Segments", String.join(",", segments))
                .build();
    }

    /** Returns a request with a prompt of the given size. */
    HttpRequest promptOf(int tokens, String route, String id, long callerTimeoutMillis) {
        return requestBuilder(route, id, callerTimeoutMillis)
                .setHeader("Prompt", Integer.toString(tokens))
                .build();
    }

    HttpRequest request(String route, String id, long callerTimeoutMillis) {
        return requestBuilder(route, id, callerTimeoutMillis).build();
    }

    private HttpRequest.Builder requestBuilder(String route, String id, long callerTimeoutMillis) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + callers + "/" + route + "/x"))
                .header("Host", HOST)
                .header("Id", id)
                .header("Allowed", Long.toString(callerTimeoutMillis))
                .timeout(Duration.ofSeconds(10))
                .POST(HttpRequest.BodyPublishers.ofString("body"));
        return route.equals("stream") || route.equals("resumable") ? builder.header("Prompt", "5000") : builder;
    }

    HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest request) {
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the address for callers. */
    Address callers() {
        return callers;
    }

    TestProtocol protocol() {
        return protocol;
    }

    GatewayRole role() {
        return role;
    }

    /** Interrupts the calls in progress and lets no further one start. */
    void interruptCalls() {
        traffic.shutdownNow();
    }

    @Override
    public void close() {
        role.close();
        traffic.shutdownNow();
        timer.shutdownNow();
    }
}
