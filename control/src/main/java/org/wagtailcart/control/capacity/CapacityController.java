package org.wagtailcart.control.capacity;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.wagtailcart.common.DaemonThreads;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.control.orders.OrderLeaseHolder;
import org.wagtailcart.control.orders.PlatformCallLimiter;
import org.wagtailcart.control.watch.ReportedLoad;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.policy.capacity.DomainOrders;
import org.wagtailcart.policy.capacity.OrderResult;
import org.wagtailcart.policy.capacity.ReplicaLimits;
import org.wagtailcart.policy.capacity.ReplicaOrder;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.routes.ServiceSpec;

/**
 * Orders the number of replicas of services with limits while this member is the leader. Plans are made on one thread
 * and calls on others, so that a platform that does not respond delays neither plans nor other duties. Without a
 * service that has limits it does nothing.
 */
public final class CapacityController implements AutoCloseable {
    private static final Logger LOG = System.getLogger(CapacityController.class.getName());
    /** Interval of planning, for which the planner is made; short against the boot time of a replica. */
    private static final long PLAN_INTERVAL_MILLIS = 1_000;
    /** Calls at the same time. A call takes up to 3 s; up to three that hang delay no other order. */
    private static final int CALL_THREADS = 4;
    /** Calls in a second that are left to usage reports, of which there are at most 10 and which have a deadline. */
    private static final int RESERVED_CALLS = 10;

    /**
     * State of a failure domain for operators.
     *
     * @param serving listed replicas that are not leaving
     * @param booting replicas that were ordered and are not listed yet
     * @param planned number that was planned last, -1 for none
     * @param ordered number that was ordered last, -1 for none
     * @param overdue whether the host list should show the ordered number and does not
     */
    public record DomainDump(String domain, int serving, int booting, int planned, int ordered, boolean overdue) {}

    /**
     * State of a service for operators.
     *
     * @param demandSlots demand in slots, -1 if it is unknown
     */
    public record ServiceDump(
            String service, ReplicaLimits limits, double demandSlots, int slotsPerReplica, List<DomainDump> domains) {}

    /**
     * State for operators.
     *
     * @param leading whether this member plans and orders
     * @param fencingToken token of the lease of this member, 0 for none
     * @param services services with limits
     * @param lastResult result of the last order of this member, empty for none
     */
    public record Dump(boolean leading, long fencingToken, List<ServiceDump> services, String lastResult) {}

    private final String holder;
    private final OrderLeaseHolder lease;
    private final PlatformCallLimiter limiter;
    private final Supplier<RouteTable> table;
    private final Supplier<Optional<List<ListedUpstream>>> hostList;
    private final Supplier<ReportedLoad> load;
    private final CapacityClient platform;
    private final Executor calls;
    private final MillisClock clock;
    private final Counter accepted;
    private final Counter refused;
    private final Counter unanswered;
    private final ScheduledExecutorService scheduler =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("capacity-plans"));
    private final Map<String, ServiceOrders> services = new TreeMap<>();
    /** Results of calls, which the planning thread applies. */
    private final Queue<Runnable> results = new ConcurrentLinkedQueue<>();

    private volatile Dump latest = new Dump(false, 0, List.of(), "");
    private volatile String lastResult = "";

    /**
     * Creates a controller. It must be started.
     *
     * @param holder name of this process, which is sent with each order
     * @param hostList the list last read by this member, empty if it is not recent
     * @param load load that gateways have reported to this member
     */
    public CapacityController(
            String holder,
            OrderLeaseHolder lease,
            PlatformCallLimiter limiter,
            Supplier<RouteTable> table,
            Supplier<Optional<List<ListedUpstream>>> hostList,
            Supplier<ReportedLoad> load,
            CapacityClient platform,
            MetricRegistry registry,
            MillisClock clock) {
        this(
                holder,
                lease,
                limiter,
                table,
                hostList,
                load,
                platform,
                registry,
                clock,
                Executors.newFixedThreadPool(CALL_THREADS, DaemonThreads.numbered("capacity-calls-")));
    }

    CapacityController(
            String holder,
            OrderLeaseHolder lease,
            PlatformCallLimiter limiter,
            Supplier<RouteTable> table,
            Supplier<Optional<List<ListedUpstream>>> hostList,
            Supplier<ReportedLoad> load,
            CapacityClient platform,
            MetricRegistry registry,
            MillisClock clock,
            Executor calls) {
        this.holder = holder;
        this.lease = lease;
        this.limiter = limiter;
        this.table = table;
        this.hostList = hostList;
        this.load = load;
        this.platform = platform;
        this.clock = clock;
        this.calls = calls;
        this.accepted = registry.counter("capacity.orders-accepted");
        this.refused = registry.counter("capacity.orders-refused");
        this.unanswered = registry.counter("capacity.orders-unanswered");
        registry.registerGauge("capacity.orders-overdue", () -> latest.services().stream()
                .flatMap(service -> service.domains().stream())
                .filter(DomainDump::overdue)
                .count());
    }

    /** Starts the periodic plans. */
    public void start() {
        ScheduledFuture<?> unused = scheduler.scheduleWithFixedDelay(
                this::runSafely, PLAN_INTERVAL_MILLIS, PLAN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        if (calls instanceof ExecutorService pool) {
            pool.shutdownNow();
        }
    }

    /** Returns the state for operators, as of the last plan. */
    public Dump dump() {
        return latest;
    }

    private void runSafely() {
        try {
            runOnce();
        } catch (Throwable e) {
            // A periodic task that throws is never repeated.
            LOG.log(Level.WARNING, LogEvent.of("capacity-plan-failed", "reason", e), e);
        }
    }

    /** Plans all services once and starts the calls that are due. */
    void runOnce() {
        for (Runnable result = results.poll(); result != null; result = results.poll()) {
            result.run();
        }
        Map<String, ReplicaLimits> limits = limitsByService();
        boolean leading = !(limits.isEmpty() && services.isEmpty()) && lease.checkLeader();
        if (!leading) {
            // What an earlier leader ordered and saw says nothing to the next one.
            services.clear();
        } else if (!limits.isEmpty()) {
            lease.ensure();
            hostList.get().ifPresent(upstreams -> planAll(limits, upstreams));
        }
        long nowMillis = clock.nowMillis();
        latest = new Dump(
                leading,
                lease.fencingToken(),
                services.entrySet().stream()
                        .filter(entry -> limits.containsKey(entry.getKey()))
                        .map(entry -> entry.getValue().dump(entry.getKey(), nowMillis))
                        .toList(),
                lastResult);
    }

    private Map<String, ReplicaLimits> limitsByService() {
        Map<String, ReplicaLimits> limits = new TreeMap<>();
        for (ServiceSpec service : table.get().services()) {
            ReplicaLimits ofService = service.replicaLimits();
            if (ofService != null) {
                limits.put(service.name(), ofService);
            }
        }
        return limits;
    }

    private void planAll(Map<String, ReplicaLimits> limits, List<ListedUpstream> upstreams) {
        ReportedLoad reported = load.get();
        long nowMillis = clock.nowMillis();
        limits.forEach((service, ofService) -> {
            ServiceOrders orders = services.computeIfAbsent(service, name -> new ServiceOrders(ofService));
            orders.limits(ofService);
            List<ListedUpstream> listed = upstreams.stream()
                    .filter(upstream -> upstream.service().equals(service))
                    .toList();
            for (ServiceOrders.DueOrder due : orders.plan(service, listed, reported, nowMillis)) {
                if (lease.mayCall() && limiter.tryAcquire(RESERVED_CALLS, nowMillis)) {
                    startCall(service, due, orders.orders(due.domain()));
                }
            }
        });
    }

    private void startCall(String service, ServiceOrders.DueOrder due, DomainOrders orders) {
        orders.begin();
        calls.execute(() -> {
            OrderResult result = send(service, due.domain(), due.order());
            long doneMillis = clock.nowMillis();
            results.add(() -> orders.end(due.order(), result, doneMillis));
        });
    }

    /** Sends an order unless it is outdated or this member can no longer prove that it is the holder. */
    private OrderResult send(String service, String domain, ReplicaOrder order) {
        long startMillis = clock.nowMillis();
        OrderResult result = OrderResult.NOT_SENT;
        long fencingToken = 0;
        try {
            Optional<OrderLeaseHolder.Permit> permit =
                    startMillis > order.validUntilMillis() ? Optional.empty() : lease.confirm();
            if (permit.isPresent()) {
                fencingToken = permit.get().fencingToken();
                // A call that fails unexpectedly may have been carried out.
                result = OrderResult.UNKNOWN;
                result = platform.order(
                        holder,
                        fencingToken,
                        service,
                        domain,
                        order.replicas(),
                        permit.get().sendByMillis());
            }
        } catch (Throwable e) {
            // Without a result, the failure domain would get no further order.
            LOG.log(Level.WARNING, LogEvent.of("capacity-order-failed", "reason", e), e);
        }
        long doneMillis = clock.nowMillis();
        record(result, fencingToken, doneMillis);
        LogEventKind.REPLICAS_ORDERED.log(
                LOG,
                result == OrderResult.ACCEPTED ? Level.INFO : Level.WARNING,
                service,
                domain,
                order.replicas(),
                SettingNames.of(order.reason()),
                holder,
                fencingToken,
                SettingNames.of(result),
                doneMillis - startMillis);
        return result;
    }

    private void record(OrderResult result, long fencingToken, long nowMillis) {
        lastResult = SettingNames.of(result);
        switch (result) {
            case ACCEPTED -> accepted.inc();
            case FENCED -> {
                refused.inc();
                lease.lose(fencingToken);
            }
            case THROTTLED -> {
                refused.inc();
                limiter.backOff(nowMillis);
            }
            case REFUSED -> refused.inc();
            case UNKNOWN -> unanswered.inc();
            case NOT_SENT -> {}
        }
    }
}
