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
import org.wagtailcart.directory.EnginePort;
import org.wagtailcart.directory.EngineReport;
import org.wagtailcart.directory.HostList;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.directory.OrderOutcome;
import org.wagtailcart.policy.role.PrefillRatioPlanner;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.routes.ServiceSpec;

/**
 * Keeps the number of engines in each role on the leader. An order needs the order lease of the replicated state and a
 * confirmation of leadership right before it is sent; a new holder waits until the former one cannot send any more.
 */
public final class RoleDuty implements AutoCloseable {
    private static final Logger LOG = System.getLogger(RoleDuty.class.getName());
    /** Time between two readings of the host list; leaving upstreams must be known within the drain limit. */
    private static final long INTERVAL_MILLIS = 700;

    /** A new leader reads the list at once, as the gateways may all have started anew. */
    private static final long CHECK_MILLIS = 100;

    private static final int SURVEY_THREADS = 4;

    private static final long CONFIRM_TIMEOUT_MILLIS = 500;
    /** Time within which gateways learn of a change before the order is sent. */
    private static final long ANNOUNCE_MILLIS = 60;
    /** A change of role takes seconds, and the list shows it a little later. */
    private static final long ROLE_CHANGE_TIMEOUT_MILLIS = 6_000;
    /** An order may be on its way for this long after a former holder had confirmed its leadership. */
    private static final long ORDER_LIMIT_MILLIS = 1_500;
    /** An order without an answer may be carried out this much later; the engine is left alone until then. */
    private static final long UNKNOWN_ORDER_MILLIS = 15_000;

    /** A change of role that was ordered. */
    private record Change(EngineRole role, long untilMillis) {}

    /** Passes on to the gateways what the leader learns. */
    public interface GatewayFeed {
        /** Takes a list and the monotonic time before it was read. */
        void list(List<ListedUpstream> upstreams, long readAtMillis);

        /** Takes what an engine holds. */
        void publishCachedSegments(PrefixCacheUpdate note);
    }

    /** What the duty needs of its member. */
    public interface Authority {
        /** Returns whether this member leads. */
        boolean isLeader();

        /** Confirms with a quorum that this member leads. */
        CompletableFuture<Long> confirm();

        /** Returns the lease of the replicated state. */
        OrderLease lease();

        /** Makes this member the holder. */
        CompletableFuture<OrderLease> takeLease(String holder);
    }

    private final String memberId;
    private final Authority authority;
    private final Supplier<RouteTable> table;
    private final Regions regions;
    private final Supplier<Boolean> traffic;
    private final GatewayFeed gateways;
    private final HostList hosts;
    private final EnginePort engines;
    private final long leaseMillis;
    private final MillisClock clock = MillisClock.monotonic();
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("engine-orders"));
    private final ExecutorService surveyThreads =
            Executors.newFixedThreadPool(SURVEY_THREADS, DaemonThreads.numbered("cache-survey-"));
    private final PrefixCacheScanner survey;
    private final Map<String, PrefillRatioPlanner> sharesByService = new HashMap<>();
    private final Map<String, Long> leaveAloneUntilMillis = new HashMap<>();
    private final Map<String, Change> changes = new HashMap<>();
    private List<ListedUpstream> latest = List.of();
    private long latestReadAtMillis;
    private long nextReadMillis = Long.MIN_VALUE;
    private long orderFromMillis = Long.MAX_VALUE;
    private long heldToken;

    /**
     * Creates it.
     *
     * @param regions regions of the failure domains
     * @param traffic whether callers are being served; before that all engines may change at once
     * @param gateways receives each host list that was read
     * @param leaseMillis time that must lie between the orders of two holders
     */
    public RoleDuty(
            String memberId,
            Authority authority,
            Supplier<RouteTable> table,
            Regions regions,
            Supplier<Boolean> traffic,
            GatewayFeed gateways,
            HostList hosts,
            EnginePort engines,
            long leaseMillis) {
        this.memberId = memberId;
        this.authority = authority;
        this.table = table;
        this.regions = regions;
        this.traffic = traffic;
        this.gateways = gateways;
        this.hosts = hosts;
        this.engines = engines;
        this.leaseMillis = leaseMillis;
        this.survey = new PrefixCacheScanner(engines, gateways::publishCachedSegments, surveyThreads);
    }

    /** Starts to plan. */
    public void start() {
        ScheduledFuture<?> unused =
                thread.scheduleWithFixedDelay(this::runSafely, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        thread.shutdownNow();
        surveyThreads.shutdownNow();
    }

    private void runSafely() {
        try {
            run();
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, LogEvent.of("role-duty-failed", "reason", e), e);
        }
    }

    private void run() {
        if (!authority.isLeader()) {
            orderFromMillis = Long.MAX_VALUE;
            heldToken = 0;
            nextReadMillis = Long.MIN_VALUE;
            survey.reset();
            return;
        }
        long readAtMillis = clock.nowMillis();
        if (readAtMillis < nextReadMillis) {
            return;
        }
        nextReadMillis = readAtMillis + INTERVAL_MILLIS;
        List<ListedUpstream> upstreams = hosts.read();
        latest = upstreams;
        latestReadAtMillis = readAtMillis;
        changes.values().removeIf(change -> change.untilMillis() <= readAtMillis);
        upstreams.forEach(upstream -> changes.remove(upstream.instanceId(), changeDone(upstream)));
        gateways.list(withoutChanging(upstreams), readAtMillis);
        survey.ask(upstreams);
        keepLease();
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
    private @Nullable Change changeDone(ListedUpstream upstream) {
        Change change = changes.get(upstream.instanceId());
        return change != null && change.role() == upstream.role() ? change : null;
    }

    /** Engines that carry out an order take no requests, so gateways see them without a role. */
    private List<ListedUpstream> withoutChanging(List<ListedUpstream> upstreams) {
        return upstreams.stream()
                .map(upstream -> changes.containsKey(upstream.instanceId()) ? upstream.withoutRole() : upstream)
                .toList();
    }

    private void plan(String service, List<ListedUpstream> upstreams) {
        long nowMillis = clock.nowMillis();
        leaveAloneUntilMillis.values().removeIf(until -> until <= nowMillis);
        PrefillRatioPlanner share = sharesByService.computeIfAbsent(service, name -> new PrefillRatioPlanner());
        List<PrefillRatioPlanner.Engine> seen = upstreams.stream()
                .filter(upstream -> !upstream.leaving() && upstream.role() != null)
                .map(upstream -> new PrefillRatioPlanner.Engine(
                        upstream.instanceId(),
                        areaOf(upstream),
                        upstream.role() == EngineRole.PREFILL,
                        changes.containsKey(upstream.instanceId())))
                .toList();
        List<PrefillRatioPlanner.Move> moves = share.plan(seen, traffic.get(), nowMillis);
        moves.stream()
                .filter(move -> !leaveAloneUntilMillis.containsKey(move.engineId()))
                .takeWhile(move -> mayOrder())
                .forEach(move -> upstreams.stream()
                        .filter(upstream -> upstream.instanceId().equals(move.engineId()))
                        .findFirst()
                        .ifPresent(upstream -> order(upstream, move.role())));
    }

    /** Engines of each role are spread over regions where there are several, as KV cache hardly moves between them. */
    private String areaOf(ListedUpstream upstream) {
        String domain = upstream.failureDomain();
        return regions.several() ? regions.of(domain) : domain;
    }

    /** Takes the lease before an order is due, as a new holder has to wait until the former one cannot order any more. */
    private void keepLease() {
        OrderLease lease = authority.lease();
        if (!holds(lease)) {
            takeLease(lease);
        }
    }

    /** Returns whether this member holds the lease and no other can still be giving orders. */
    private boolean mayOrder() {
        return holds(authority.lease()) && clock.nowMillis() >= orderFromMillis;
    }

    private boolean holds(OrderLease lease) {
        return heldToken != 0 && lease.holder().equals(memberId) && heldToken == lease.fencingToken();
    }

    private void takeLease(OrderLease before) {
        Optional<OrderLease> taken = await(authority.takeLease(memberId), leaseMillis);
        taken.ifPresent(lease -> {
            // An answer to an earlier take may have been lost, so that only the holder before that tells.
            boolean first = before.granted(memberId).previousHolder().isEmpty();
            heldToken = lease.fencingToken();
            orderFromMillis = clock.nowMillis() + (first ? 0 : leaseMillis + ORDER_LIMIT_MILLIS);
            LOG.log(
                    Level.INFO,
                    LogEvent.of(
                            "order-lease-taken", "holder", memberId, "token", heldToken, "before", before.holder()));
        });
    }

    private void order(ListedUpstream engine, EngineRole role) {
        EngineReport report;
        try {
            report = engines.report(engine);
        } catch (WagtailcartException e) {
            LOG.log(Level.INFO, LogEvent.of("engine-report-failed", "engine", engine.instanceId(), "reason", e));
            return;
        }
        if (report.changing() || report.role() == role) {
            leaveAloneUntilMillis.put(engine.instanceId(), clock.nowMillis() + leaseMillis);
            return;
        }
        announce(engine, role);
        long confirmedByMillis = clock.nowMillis() + CONFIRM_TIMEOUT_MILLIS;
        if (await(authority.confirm(), CONFIRM_TIMEOUT_MILLIS).isEmpty()
                || clock.nowMillis() > confirmedByMillis
                || authority.lease().fencingToken() != heldToken) {
            return;
        }
        OrderOutcome outcome = engines.orderRole(engine, role, memberId, heldToken, report.orderCount());
        LOG.log(
                Level.INFO,
                LogEvent.of(
                        "order-sent",
                        "engine",
                        engine.instanceId(),
                        "role",
                        role,
                        "token",
                        heldToken,
                        "order-count",
                        report.orderCount(),
                        "outcome",
                        outcome));
        long pauseMillis = outcome == OrderOutcome.UNKNOWN ? UNKNOWN_ORDER_MILLIS : 2 * leaseMillis;
        leaveAloneUntilMillis.put(engine.instanceId(), clock.nowMillis() + pauseMillis);
        if (outcome == OrderOutcome.FENCED) {
            heldToken = 0;
            orderFromMillis = Long.MAX_VALUE;
        }
    }

    /** Tells the gateways to send the engine nothing more, and gives them a moment to learn it. */
    private void announce(ListedUpstream engine, EngineRole role) {
        changes.put(engine.instanceId(), new Change(role, clock.nowMillis() + ROLE_CHANGE_TIMEOUT_MILLIS));
        gateways.list(withoutChanging(latest), latestReadAtMillis);
        if (!traffic.get()) {
            return;
        }
        try {
            TimeUnit.MILLISECONDS.sleep(ANNOUNCE_MILLIS);
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
