package org.wagtailcart.control.orders;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
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
import org.wagtailcart.policy.role.PrefillRatioPlanner;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.routes.ServiceSpec;

/**
 * Keeps the number of engines in each role on the leader. An order needs the order lease of the replicated state and a
 * confirmation of leadership right before it is sent; a new holder waits until the former one cannot send any more.
 */
public final class EngineRoleController implements AutoCloseable {
    private static final Logger LOG = System.getLogger(EngineRoleController.class.getName());
    /** Time between two readings of the host list; leaving upstreams must be known within the drain limit. */
    private static final long READ_INTERVAL_MILLIS = 700;

    /** A new leader reads the list at once, as the gateways may all have started anew. */
    private static final long CHECK_INTERVAL_MILLIS = 100;

    private static final int SCAN_THREADS = 4;

    private static final long CONFIRM_TIMEOUT_MILLIS = 500;
    /** Time within which gateways learn of a change before the order is sent. */
    private static final long ANNOUNCE_DELAY_MILLIS = 60;
    /** A change of role takes seconds, and the list shows it a little later. */
    private static final long ROLE_CHANGE_TIMEOUT_MILLIS = 6_000;
    /** An order may be on its way for this long after a former holder had confirmed its leadership. */
    private static final long MAX_ORDER_DELAY_MILLIS = 1_500;
    /** An order without an answer may be carried out this much later; the engine is left alone until then. */
    private static final long UNKNOWN_ORDER_COOLDOWN_MILLIS = 15_000;

    /** A change of role that was ordered. */
    private record PendingRoleChange(EngineRole role, long expiresAtMillis) {}

    /** Passes on to the gateways what the leader learns. */
    public interface GatewayPublisher {
        /** Takes a list and the monotonic time before it was read. */
        void publishHostList(List<ListedUpstream> upstreams, long readAtMillis);

        /** Takes what an engine holds. */
        void publishCachedSegments(PrefixCacheUpdate note);
    }

    /** What the duty needs of its member. */
    public interface Leadership {
        /** Returns whether this member leads. */
        boolean isLeader();

        /** Confirms with a quorum that this member leads. */
        CompletableFuture<Long> confirmLeadership();

        /** Returns the lease of the replicated state. */
        OrderLease orderLease();

        /** Makes this member the holder. */
        CompletableFuture<OrderLease> acquireOrderLease(String holder);
    }

    private final String memberId;
    private final Leadership leadership;
    private final Supplier<RouteTable> table;
    private final Regions regions;
    private final Supplier<Boolean> trafficSeen;
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
    private final Map<String, PrefillRatioPlanner> sharesByService = new HashMap<>();
    private final Map<String, Long> orderCooldownUntilMillis = new HashMap<>();
    private final Map<String, PendingRoleChange> pendingRoleChanges = new HashMap<>();
    private List<ListedUpstream> latestUpstreams = List.of();
    private long latestReadAtMillis;
    private long nextReadMillis = Long.MIN_VALUE;
    private long ordersAllowedFromMillis = Long.MAX_VALUE;
    private long leaseFencingToken;

    /**
     * Creates it.
     *
     * @param regions regions of the failure domains
     * @param trafficSeen whether callers are being served; before that all engines may change at once
     * @param gatewayPublisher receives each host list that was read
     * @param leaseMillis time that must lie between the orders of two holders
     */
    public EngineRoleController(
            String memberId,
            Leadership leadership,
            Supplier<RouteTable> table,
            Regions regions,
            Supplier<Boolean> trafficSeen,
            GatewayPublisher gatewayPublisher,
            HostList hostList,
            EngineControlClient engines,
            long leaseMillis) {
        this.memberId = memberId;
        this.leadership = leadership;
        this.table = table;
        this.regions = regions;
        this.trafficSeen = trafficSeen;
        this.gatewayPublisher = gatewayPublisher;
        this.hostList = hostList;
        this.engines = engines;
        this.leaseMillis = leaseMillis;
        this.cacheScanner = new PrefixCacheScanner(engines, gatewayPublisher::publishCachedSegments, scanExecutor);
    }

    /** Starts to plan. */
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
        if (!leadership.isLeader()) {
            ordersAllowedFromMillis = Long.MAX_VALUE;
            leaseFencingToken = 0;
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
        ensureLease();
        Set<String> services = table.get().services().stream()
                .filter(service -> service.engine() != null)
                .map(ServiceSpec::name)
                .collect(Collectors.toSet());
        Map<String, List<ListedUpstream>> listed = upstreams.stream()
                .filter(upstream -> services.contains(upstream.service()))
                .collect(Collectors.groupingBy(ListedUpstream::service));
        listed.forEach(this::plan);
    }

    /** Returns the change of an engine that the list already shows, null for none. */
    private @Nullable PendingRoleChange completedChange(ListedUpstream upstream) {
        PendingRoleChange change = pendingRoleChanges.get(upstream.instanceId());
        return change != null && change.role() == upstream.role() ? change : null;
    }

    /** Engines that carry out an order take no requests, so gateways see them without a role. */
    private List<ListedUpstream> withoutChangingRoles(List<ListedUpstream> upstreams) {
        return upstreams.stream()
                .map(upstream ->
                        pendingRoleChanges.containsKey(upstream.instanceId()) ? upstream.withoutRole() : upstream)
                .toList();
    }

    private void plan(String service, List<ListedUpstream> upstreams) {
        long nowMillis = clock.nowMillis();
        orderCooldownUntilMillis.values().removeIf(until -> until <= nowMillis);
        PrefillRatioPlanner share = sharesByService.computeIfAbsent(service, name -> new PrefillRatioPlanner());
        List<PrefillRatioPlanner.Engine> engines = upstreams.stream()
                .filter(upstream -> !upstream.leaving() && upstream.role() != null)
                .map(upstream -> new PrefillRatioPlanner.Engine(
                        upstream.instanceId(),
                        spreadDomainOf(upstream),
                        upstream.role() == EngineRole.PREFILL,
                        pendingRoleChanges.containsKey(upstream.instanceId())))
                .toList();
        List<PrefillRatioPlanner.RatioChange> moves = share.plan(engines, trafficSeen.get(), nowMillis);
        moves.stream()
                .filter(move -> !orderCooldownUntilMillis.containsKey(move.engineId()))
                .takeWhile(move -> mayOrder())
                .forEach(move -> upstreams.stream()
                        .filter(upstream -> upstream.instanceId().equals(move.engineId()))
                        .findFirst()
                        .ifPresent(upstream -> sendOrder(upstream, move.role())));
    }

    /** Engines of each role are spread over regions where there are several, as KV cache hardly moves between them. */
    private String spreadDomainOf(ListedUpstream upstream) {
        String domain = upstream.failureDomain();
        return regions.hasMultiple() ? regions.regionOf(domain) : domain;
    }

    /** Takes the lease before an order is due, as a new holder has to wait until the former one cannot order any more. */
    private void ensureLease() {
        OrderLease lease = leadership.orderLease();
        if (!holdsLease(lease)) {
            acquireLease(lease);
        }
    }

    /** Returns whether this member holds the lease and no other can still be giving orders. */
    private boolean mayOrder() {
        return holdsLease(leadership.orderLease()) && clock.nowMillis() >= ordersAllowedFromMillis;
    }

    private boolean holdsLease(OrderLease lease) {
        return leaseFencingToken != 0 && lease.holder().equals(memberId) && leaseFencingToken == lease.fencingToken();
    }

    private void acquireLease(OrderLease before) {
        Optional<OrderLease> acquired = await(leadership.acquireOrderLease(memberId), leaseMillis);
        acquired.ifPresent(lease -> {
            // An answer to an earlier take may have been lost, so that only the holder before that tells.
            boolean first = before.grantedTo(memberId).previousHolder().isEmpty();
            leaseFencingToken = lease.fencingToken();
            ordersAllowedFromMillis = clock.nowMillis() + (first ? 0 : leaseMillis + MAX_ORDER_DELAY_MILLIS);
            LOG.log(
                    Level.INFO,
                    LogEvent.of(
                            "order-lease-taken",
                            "holder",
                            memberId,
                            "token",
                            leaseFencingToken,
                            "before",
                            before.holder()));
        });
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
        long confirmedByMillis = clock.nowMillis() + CONFIRM_TIMEOUT_MILLIS;
        if (await(leadership.confirmLeadership(), CONFIRM_TIMEOUT_MILLIS).isEmpty()
                || clock.nowMillis() > confirmedByMillis
                || leadership.orderLease().fencingToken() != leaseFencingToken) {
            return;
        }
        OrderOutcome outcome = engines.changeRole(engine, role, memberId, leaseFencingToken, report.orderCount());
        LOG.log(
                Level.INFO,
                LogEvent.of(
                        "order-sent",
                        "engine",
                        engine.instanceId(),
                        "role",
                        role,
                        "token",
                        leaseFencingToken,
                        "order-count",
                        report.orderCount(),
                        "outcome",
                        outcome));
        long cooldownMillis = outcome == OrderOutcome.UNKNOWN ? UNKNOWN_ORDER_COOLDOWN_MILLIS : 2 * leaseMillis;
        orderCooldownUntilMillis.put(engine.instanceId(), clock.nowMillis() + cooldownMillis);
        if (outcome == OrderOutcome.FENCED) {
            leaseFencingToken = 0;
            ordersAllowedFromMillis = Long.MAX_VALUE;
        }
    }

    /** Tells the gateways to send the engine nothing more, and gives them a moment to learn it. */
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

    private static <T> Optional<T> await(CompletableFuture<T> future, long timeoutMillis) {
        try {
            @Nullable T value = future.get(timeoutMillis, TimeUnit.MILLISECONDS);
            return Optional.ofNullable(value);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(Level.INFO, LogEvent.of("authority-not-confirmed", "reason", e));
            return Optional.empty();
        }
    }
}
