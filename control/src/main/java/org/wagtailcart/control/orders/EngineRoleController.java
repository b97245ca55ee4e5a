package org.wagtailcart.control.orders;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.DaemonThreads;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.Regions;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.client.PrefixCacheUpdate;
import org.wagtailcart.directory.EngineControlClient;
import org.wagtailcart.directory.HostList;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.directory.OrderOutcome;
import org.wagtailcart.directory.ReportedEngineState;
import org.wagtailcart.policy.placement.EngineRate;
import org.wagtailcart.policy.placement.FleetRates;
import org.wagtailcart.policy.role.PrefillRatioPlanner;
import org.wagtailcart.routes.EngineSpec;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.routes.ServiceSpec;

/**
 * Controller that keeps the ratio of prefill to decode engines of each service while this member is the leader. Sending
 * an order requires the order lease of the replicated state and a confirmation of leadership immediately before; a new
 * holder of the lease waits until the previous one can no longer send orders.
 */
public final class EngineRoleController implements AutoCloseable {
    private static final Logger LOG = System.getLogger(EngineRoleController.class.getName());
    /** Interval of reading the host list; leaving upstreams must be detected within the drain limit. */
    private static final long READ_INTERVAL_MILLIS = 700;

    /** Interval of the leadership check; a new leader reads the list at once, since all gateways may have restarted. */
    private static final long CHECK_INTERVAL_MILLIS = 100;

    private static final int SCAN_THREADS = 4;
    /** Delay between publishing a role change and sending the order, in which the gateways receive the change. */
    private static final long ANNOUNCE_DELAY_MILLIS = 60;
    /** Time for which a role change is pending; it takes seconds, and the host list shows it a little later. */
    private static final long ROLE_CHANGE_TIMEOUT_MILLIS = 6_000;
    /** An order without a reply may still be executed for this long; the engine gets no other order until then. */
    private static final long UNKNOWN_ORDER_COOLDOWN_MILLIS = 15_000;

    /** A role change that was ordered and is not yet shown by the host list. */
    private record PendingRoleChange(EngineRole role, long expiresAtMillis) {}

    /** Engines that serve a request together: KV cache is handed over only within a software version. */
    private record EnginePool(String service, String softwareVersion) {
        static EnginePool of(ListedUpstream upstream) {
            return new EnginePool(upstream.service(), upstream.softwareVersion());
        }
    }

    /** Publishes updates from the leader to the gateways. */
    public interface GatewayPublisher {
        /** Publishes a host list with the monotonic time at which its read started. */
        void publishHostList(List<ListedUpstream> upstreams, long readAtMillis);

        /** Publishes the prompt segments cached by an engine. */
        void publishCachedSegments(PrefixCacheUpdate update);
    }

    private final String memberId;
    private final OrderLeaseHolder lease;
    private final Supplier<RouteTable> table;
    private final Regions regions;
    private final Supplier<Boolean> trafficSeen;
    private final Supplier<List<EngineRate>> engineRates;
    private final GatewayPublisher gatewayPublisher;
    private final HostList hostList;
    private final EngineControlClient engines;
    private final long leaseMillis;
    private final MillisClock clock = MillisClock.monotonic();
    private final ScheduledExecutorService scheduler =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("engine-orders"));
    private final ExecutorService scanExecutor =
            Executors.newFixedThreadPool(SCAN_THREADS, DaemonThreads.numbered("cache-survey-"));
    private final PrefixCacheScanner cacheScanner;
    private final Map<EnginePool, PrefillRatioPlanner> ratioPlannersByPool = new HashMap<>();
    private final Map<String, Long> orderCooldownUntilMillis = new HashMap<>();
    private final Map<String, PendingRoleChange> pendingRoleChanges = new HashMap<>();
    private List<ListedUpstream> latestUpstreams = List.of();
    private long latestReadAtMillis;
    private long nextReadMillis = Long.MIN_VALUE;

    /**
     * Creates a controller. It must be started.
     *
     * @param regions mapping of failure domains to regions
     * @param trafficSeen whether callers are being served; until then all engines may change their role at once
     * @param engineRates prefill rates that gateways have learned
     * @param gatewayPublisher receives the host lists and the cached segments of engines
     * @param lease order lease of this member
     * @param leaseMillis time for which an engine gets no further order after a refused one
     */
    public EngineRoleController(
            String memberId,
            OrderLeaseHolder lease,
            Supplier<RouteTable> table,
            Regions regions,
            Supplier<Boolean> trafficSeen,
            Supplier<List<EngineRate>> engineRates,
            GatewayPublisher gatewayPublisher,
            HostList hostList,
            EngineControlClient engines,
            long leaseMillis) {
        this.memberId = memberId;
        this.lease = lease;
        this.table = table;
        this.regions = regions;
        this.trafficSeen = trafficSeen;
        this.engineRates = engineRates;
        this.gatewayPublisher = gatewayPublisher;
        this.hostList = hostList;
        this.engines = engines;
        this.leaseMillis = leaseMillis;
        this.cacheScanner = new PrefixCacheScanner(engines, gatewayPublisher::publishCachedSegments, scanExecutor);
    }

    /** Starts the periodic checks. */
    public void start() {
        ScheduledFuture<?> unused = scheduler.scheduleWithFixedDelay(
                this::runSafely, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        scanExecutor.shutdownNow();
    }

    private void runSafely() {
        try {
            runOnce();
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, LogEvent.of("role-duty-failed", "reason", e), e);
        }
    }

    private void runOnce() {
        if (!lease.checkLeader()) {
            nextReadMillis = Long.MIN_VALUE;
            cacheScanner.reset();
            return;
        }
        long readAtMillis = clock.nowMillis();
        if (readAtMillis < nextReadMillis) {
            return;
        }
        nextReadMillis = readAtMillis + READ_INTERVAL_MILLIS;
        List<ListedUpstream> upstreams = hostList.read();
        latestUpstreams = upstreams;
        latestReadAtMillis = readAtMillis;
        pendingRoleChanges.values().removeIf(change -> change.expiresAtMillis() <= readAtMillis);
        upstreams.forEach(upstream -> pendingRoleChanges.remove(upstream.instanceId(), completedChange(upstream)));
        gatewayPublisher.publishHostList(withoutChangingRoles(upstreams), readAtMillis);
        cacheScanner.scan(upstreams);
        lease.ensure();
        Set<String> services = table.get().services().stream()
                .filter(service -> service.engine() != null)
                .map(ServiceSpec::name)
                .collect(Collectors.toSet());
        Map<EnginePool, List<ListedUpstream>> listed = upstreams.stream()
                .filter(upstream -> services.contains(upstream.service()))
                .collect(Collectors.groupingBy(EnginePool::of));
        listed.forEach(this::plan);
    }

    /** Returns the pending role change that the host list already shows, null for none. */
    private @Nullable PendingRoleChange completedChange(ListedUpstream upstream) {
        PendingRoleChange change = pendingRoleChanges.get(upstream.instanceId());
        return change != null && change.role() == upstream.role() ? change : null;
    }

    /** Returns the list for gateways, without the role of engines that change it, since these accept no requests. */
    private List<ListedUpstream> withoutChangingRoles(List<ListedUpstream> upstreams) {
        return upstreams.stream()
                .map(upstream ->
                        pendingRoleChanges.containsKey(upstream.instanceId()) ? upstream.withoutRole() : upstream)
                .toList();
    }

    private void plan(EnginePool pool, List<ListedUpstream> upstreams) {
        long nowMillis = clock.nowMillis();
        orderCooldownUntilMillis.values().removeIf(until -> until <= nowMillis);
        PrefillRatioPlanner planner = ratioPlannersByPool.computeIfAbsent(pool, key -> new PrefillRatioPlanner());
        FleetRates rates = fleetRates(upstreams);
        List<PrefillRatioPlanner.Engine> engines = upstreams.stream()
                .filter(upstream -> !upstream.leaving() && roleBeforeChange(upstream) != null)
                .map(upstream -> new PrefillRatioPlanner.Engine(
                        upstream.instanceId(),
                        spreadDomainOf(upstream),
                        roleBeforeChange(upstream) == EngineRole.PREFILL,
                        pendingRoleChanges.containsKey(upstream.instanceId()),
                        rates.speed(upstream.instanceId())))
                .toList();
        List<PrefillRatioPlanner.RatioChange> changes =
                planner.plan(engines, slots(pool.service()), trafficSeen.get(), nowMillis);
        changes.stream()
                .filter(change -> !orderCooldownUntilMillis.containsKey(change.engineId()))
                .takeWhile(change -> lease.mayCall())
                .forEach(change -> upstreams.stream()
                        .filter(upstream -> upstream.instanceId().equals(change.engineId()))
                        .findFirst()
                        .ifPresent(upstream -> sendOrder(upstream, change.role())));
    }

    /** Returns the role of an engine, the former one while it changes its role and the list shows none. */
    private @Nullable EngineRole roleBeforeChange(ListedUpstream upstream) {
        PendingRoleChange change = pendingRoleChanges.get(upstream.instanceId());
        if (upstream.role() != null || change == null) {
            return upstream.role();
        }
        return change.role() == EngineRole.PREFILL ? EngineRole.DECODE : EngineRole.PREFILL;
    }

    private FleetRates fleetRates(List<ListedUpstream> upstreams) {
        Set<String> ids = upstreams.stream().map(ListedUpstream::instanceId).collect(Collectors.toSet());
        return FleetRates.of(engineRates.get().stream()
                .filter(rate -> ids.contains(rate.instanceId()))
                .collect(Collectors.toMap(EngineRate::instanceId, EngineRate::tokensPerMilli)));
    }

    private int slots(String service) {
        return table.get().services().stream()
                .filter(spec -> spec.name().equals(service))
                .flatMap(spec -> Optional.ofNullable(spec.engine()).stream())
                .mapToInt(EngineSpec::slots)
                .findFirst()
                .orElse(1);
    }

    /**
     * Returns the domain over which engines of each role are spread: the region when there are several, because KV
     * cache is hardly ever transferred between regions, otherwise the failure domain.
     */
    private String spreadDomainOf(ListedUpstream upstream) {
        String domain = upstream.failureDomain();
        return regions.hasMultiple() ? regions.regionOf(domain) : domain;
    }

    private void sendOrder(ListedUpstream engine, EngineRole role) {
        ReportedEngineState report;
        try {
            report = engines.readState(engine);
        } catch (WagtailcartException e) {
            LOG.log(Level.INFO, LogEvent.of("engine-report-failed", "engine", engine.instanceId(), "reason", e));
            return;
        }
        if (report.changing() || report.role() == role) {
            orderCooldownUntilMillis.put(engine.instanceId(), clock.nowMillis() + leaseMillis);
            return;
        }
        announceRoleChange(engine, role);
        Optional<OrderLeaseHolder.Permit> permit = lease.confirm();
        if (permit.isEmpty()) {
            return;
        }
        long fencingToken = permit.get().fencingToken();
        OrderOutcome outcome = engines.changeRole(engine, role, memberId, fencingToken, report.orderCount());
        LOG.log(
                Level.INFO,
                LogEvent.of(
                        "order-sent",
                        "engine",
                        engine.instanceId(),
                        "role",
                        role,
                        "token",
                        fencingToken,
                        "order-count",
                        report.orderCount(),
                        "outcome",
                        outcome));
        long cooldownMillis = outcome == OrderOutcome.UNKNOWN ? UNKNOWN_ORDER_COOLDOWN_MILLIS : 2 * leaseMillis;
        orderCooldownUntilMillis.put(engine.instanceId(), clock.nowMillis() + cooldownMillis);
        if (outcome == OrderOutcome.FENCED) {
            lease.lose(fencingToken);
        }
    }

    /** Publishes the pending role change and gives the gateways time to stop sending requests to the engine. */
    private void announceRoleChange(ListedUpstream engine, EngineRole role) {
        pendingRoleChanges.put(
                engine.instanceId(), new PendingRoleChange(role, clock.nowMillis() + ROLE_CHANGE_TIMEOUT_MILLIS));
        gatewayPublisher.publishHostList(withoutChangingRoles(latestUpstreams), latestReadAtMillis);
        if (!trafficSeen.get()) {
            return;
        }
        try {
            TimeUnit.MILLISECONDS.sleep(ANNOUNCE_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
