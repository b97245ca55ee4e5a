package org.wagtailcart.control;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RoleService;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.capacity.CapacityClient;
import org.wagtailcart.control.capacity.CapacityController;
import org.wagtailcart.control.client.CommandRequest;
import org.wagtailcart.control.client.ControlClientImpl;
import org.wagtailcart.control.client.FindOrigin;
import org.wagtailcart.control.client.PowerGrant;
import org.wagtailcart.control.client.PrefixCacheUpdate;
import org.wagtailcart.control.client.ProcessesReply;
import org.wagtailcart.control.client.ProcessesRequest;
import org.wagtailcart.control.client.RecordOrigins;
import org.wagtailcart.control.client.SyncBatch;
import org.wagtailcart.control.client.SyncBatchReply;
import org.wagtailcart.control.client.SyncRequest;
import org.wagtailcart.control.client.WatchRequest;
import org.wagtailcart.control.http.OperatorBackend;
import org.wagtailcart.control.http.OperatorServer;
import org.wagtailcart.control.orders.AcquireOrderLease;
import org.wagtailcart.control.orders.EngineRoleController;
import org.wagtailcart.control.orders.Leadership;
import org.wagtailcart.control.orders.OrderLease;
import org.wagtailcart.control.orders.OrderLeaseHolder;
import org.wagtailcart.control.orders.PlatformCallLimiter;
import org.wagtailcart.control.stream.OriginHandler;
import org.wagtailcart.control.usage.UsageBackend;
import org.wagtailcart.control.usage.UsageObserver;
import org.wagtailcart.control.usage.UsageReportClient;
import org.wagtailcart.control.usage.UsageReporter;
import org.wagtailcart.control.watch.HostListCache;
import org.wagtailcart.control.watch.WatchHandler;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.Membership;
import org.wagtailcart.coordination.MembershipChange;
import org.wagtailcart.coordination.RaftStatus;
import org.wagtailcart.coordination.ReplicatedLog;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.policy.placement.EngineRate;
import org.wagtailcart.usage.CloseUsageWindow;
import org.wagtailcart.usage.ClosedUsageWindow;
import org.wagtailcart.usage.MarkUsageReported;
import org.wagtailcart.usage.UsageState;
import org.wagtailcart.wire.Exchange;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.PeerClient;
import org.wagtailcart.wire.PeerDispatcher;

/**
 * Control role of a process: one member of the replicated control group. It serves syncs, watches and commands,
 * forwards load reports to the leader, and runs the leader tasks while it is the leader itself.
 */
public final class ControlRole implements RoleService, OperatorBackend {
    private static final Logger LOG = System.getLogger(ControlRole.class.getName());

    // Covers an election of 1 to 3 s, so that operators need not repeat a request by hand.
    private static final long OPERATOR_TIMEOUT_MILLIS = 10_000;
    private static final long WATCH_CHECK_INTERVAL_MILLIS = 50;

    private final ControlOptions options;
    private final ReplicatedLog log;
    private final ControlState state;
    private final PeerDispatcher dispatcher;
    private final PeerClient peers;
    private final MessageCodec codec;
    private final MetricRegistry registry;
    private final Executor executor;
    private final ScheduledExecutorService scheduler;
    private final MillisClock clock = MillisClock.monotonic();
    private final ProcessTracker processTracker = new ProcessTracker();
    private final CommandHandler commandHandler;
    private final SyncReplyBuilder syncReplyBuilder;
    private final LeaderTasks leaderTasks;
    private final HostListCache hostListCache = new HostListCache();
    private final UsageObserver usageObserver;
    private final PlatformCallLimiter platformCalls = new PlatformCallLimiter();
    private final WatchHandler watchHandler;
    private final OriginHandler originHandler = new OriginHandler(clock);
    private final Meter syncMeter;
    private final Meter commandMeter;
    private final Map<String, Long> grantDeadlinesMillis = new HashMap<>();
    // Earlier than any monotonic time, so that a member that was never confirmed grants no lease.
    private volatile long confirmedAtMillis = Long.MIN_VALUE / 4;
    private final List<ScheduledFuture<?>> tasks = new ArrayList<>();
    private volatile int entryCount;
    private volatile boolean started;
    private @Nullable OperatorServer operatorServer;

    /**
     * Creates a member that does not serve until it is started.
     *
     * @param codec codec with the messages of settings, fleet, keys and control
     * @param dispatcher dispatcher with which the message handlers are registered on start
     * @param peers client for calls to the other members
     * @param executor runs operator requests, which may block while reading the request body
     * @param scheduler runs the forwarding of sync batches, the leader tasks and the watch timeouts
     */
    public ControlRole(
            ControlOptions options,
            ReplicatedLog log,
            ControlState state,
            MessageCodec codec,
            PeerDispatcher dispatcher,
            PeerClient peers,
            FleetPlanner planner,
            MetricRegistry registry,
            Executor executor,
            ScheduledExecutorService scheduler) {
        this.options = options;
        this.log = log;
        this.state = state;
        this.dispatcher = dispatcher;
        this.peers = peers;
        this.codec = codec;
        this.registry = registry;
        this.executor = executor;
        this.scheduler = scheduler;
        this.commandHandler = new CommandHandler(log, state, codec);
        this.syncReplyBuilder = new SyncReplyBuilder(codec);
        this.leaderTasks = new LeaderTasks(commandHandler, state, processTracker, planner, clock);
        this.usageObserver = new UsageObserver(log.status().self().memberId(), MillisClock.wall());
        this.watchHandler = new WatchHandler(
                state::routes, log::status, this::confirmationAgeMillis, hostListCache, usageObserver, clock);
        this.syncMeter = registry.meter("control.syncs");
        this.commandMeter = registry.meter("control.commands");
        registry.registerGauge("control.stream-origins", originHandler::size);
    }

    @Override
    public void start() {
        dispatcher.register(SyncRequest.class, this::handleSync);
        dispatcher.register(CommandRequest.class, this::handleCommand);
        dispatcher.register(SyncBatch.class, this::handleSyncBatch);
        dispatcher.register(ProcessesRequest.class, this::processes);
        scheduleRepeating(this::forwardSyncs, options.syncForwardIntervalMillis());
        scheduleRepeating(leaderTasks::run, options.planIntervalMillis());
        dispatcher.register(WatchRequest.class, watchHandler::handle);
        dispatcher.register(RecordOrigins.class, this::handleRecordOrigins);
        dispatcher.register(FindOrigin.class, this::handleFindOrigin);
        state.onRoutesChanged(() -> executor.execute(watchHandler::replyDue));
        scheduleRepeating(watchHandler::replyDue, WATCH_CHECK_INTERVAL_MILLIS);
        Address operators = options.operatorAddress();
        if (operators != null) {
            operatorServer = new OperatorServer(operators, options.operatorToken(), this, registry, executor);
        }
        started = true;
    }

    @Override
    public boolean ready() {
        return started && confirmationAgeMillis() < options.leaseMillis();
    }

    @Override
    public CompletableFuture<Void> drain() {
        started = false;
        return log.transferLeadership();
    }

    @Override
    public Record dump() {
        return ControlDump.of(log.status(), state.published(), confirmationAgeMillis(), engineRates());
    }

    @Override
    public void close() {
        started = false;
        tasks.forEach(task -> task.cancel(false));
        if (operatorServer != null) {
            operatorServer.close();
        }
    }

    @Override
    public PublishedState state() {
        return state.published();
    }

    @Override
    public RaftStatus status() {
        return log.status();
    }

    @Override
    public long leaseMillis() {
        return options.leaseMillis();
    }

    @Override
    public <T> CompletableFuture<T> submit(Record command, Class<T> resultType) {
        if (commandHandler.isLeader()) {
            return commandHandler.propose(command).thenApply(resultType::cast);
        }
        RaftStatus status = log.status();
        List<Address> members = Stream.concat(status.leader().stream(), status.membership().members().stream())
                .map(Member::address)
                .distinct()
                .toList();
        if (members.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new WagtailcartException(ResultCode.NOT_LEADER, "this member has not joined a control group yet"));
        }
        return new ControlClientImpl(peers, codec, members, scheduler)
                .submit(command, resultType, OPERATOR_TIMEOUT_MILLIS);
    }

    @Override
    public CompletableFuture<ProcessesReply> processes() {
        RaftStatus status = log.status();
        if (status.role() == RaftStatus.Role.LEADER) {
            return CompletableFuture.completedFuture(localProcesses());
        }
        return status.leader()
                .map(leader -> peers.call(
                        leader.address(),
                        new ProcessesRequest(status.self().memberId()),
                        ProcessesReply.class,
                        OPERATOR_TIMEOUT_MILLIS))
                .orElseGet(() -> CompletableFuture.failedFuture(
                        new WagtailcartException(ResultCode.NOT_LEADER, "this member has no known leader")));
    }

    @Override
    public CompletableFuture<Membership> changeMembers(MembershipChange change) {
        return log.changeMembership(change);
    }

    /** Returns the leadership and order lease of this member, as required by the holder of the lease. */
    public Leadership leadership() {
        return new Leadership() {
            @Override
            public boolean isLeader() {
                return started && commandHandler.isLeader();
            }

            @Override
            public CompletableFuture<Long> confirmLeadership() {
                return log.confirmLeadership();
            }

            @Override
            public OrderLease orderLease() {
                return state.orderLease();
            }

            @Override
            public CompletableFuture<OrderLease> acquireOrderLease(String holder) {
                return commandHandler.propose(new AcquireOrderLease(holder)).thenApply(OrderLease.class::cast);
            }
        };
    }

    /**
     * Returns a reporter of the usage that gateways report to this member.
     *
     * @param holder name of this process, which is sent with each report
     * @param lease order lease of this member
     * @param platform receives the reports
     * @param lateMillis time after the end of a window at which its report is late
     */
    public UsageReporter usageReporter(
            String holder, OrderLeaseHolder lease, UsageReportClient platform, long windowMillis, long lateMillis) {
        return new UsageReporter(
                holder,
                lease,
                platformCalls,
                usageBackend(),
                usageObserver,
                platform,
                windowMillis,
                lateMillis,
                registry,
                clock);
    }

    /**
     * Returns a controller of the numbers of replicas, from the load that gateways report to this member.
     *
     * @param holder name of this process, which is sent with each order
     * @param lease order lease of this member
     * @param platform receives the orders
     */
    public CapacityController capacityController(String holder, OrderLeaseHolder lease, CapacityClient platform) {
        return new CapacityController(
                holder,
                lease,
                platformCalls,
                state::routes,
                () -> hostListCache.recent(clock.nowMillis()),
                watchHandler::load,
                platform,
                registry,
                clock);
    }

    private UsageBackend usageBackend() {
        return new UsageBackend() {
            @Override
            public UsageState state() {
                return state.usage();
            }

            @Override
            public CompletableFuture<ClosedUsageWindow> close(CloseUsageWindow command) {
                return commandHandler.propose(command).thenApply(ClosedUsageWindow.class::cast);
            }

            @Override
            public CompletableFuture<ClosedUsageWindow> mark(MarkUsageReported command) {
                return commandHandler.propose(command).thenApply(ClosedUsageWindow.class::cast);
            }
        };
    }

    /** Returns the publisher that forwards host lists and prefix updates to the watching gateways. */
    public EngineRoleController.GatewayPublisher gatewayPublisher() {
        return new EngineRoleController.GatewayPublisher() {
            @Override
            public void publishHostList(List<ListedUpstream> upstreams, long readAtMillis) {
                if (hostListCache.update(upstreams, readAtMillis)) {
                    watchHandler.replyDue();
                }
            }

            @Override
            public void publishCachedSegments(PrefixCacheUpdate update) {
                watchHandler.publish(update);
            }
        };
    }

    /** Returns whether any gateway has reported in-flight requests to this member since it started. */
    public boolean trafficSeen() {
        return watchHandler.trafficSeen();
    }

    /** Returns the prefill rates of engines that gateways have reported to this member. */
    public List<EngineRate> engineRates() {
        return watchHandler.engineRates();
    }

    private void scheduleRepeating(Runnable task, long periodMillis) {
        tasks.add(scheduler.scheduleWithFixedDelay(
                () -> runSafely(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS));
    }

    private void runSafely(Runnable task) {
        try {
            if (started) {
                task.run();
            }
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, LogEvent.of("control-task-failed", "reason", e), e);
        }
    }

    private void handleSync(Exchange exchange, Object message) {
        syncMeter.mark();
        SyncRequest request = (SyncRequest) message;
        CommandHandler.checkNoMissingFields("sync", request);
        // The age is read before the state, so that the confirmation is never newer than the state in the reply.
        long ageMillis = confirmationAgeMillis();
        PublishedState published = state.published();
        exchange.finish(syncReplyBuilder.buildReply(
                request, published, ageMillis, grantsFor(request), commandHandler.leaderAddress(), entryCount));
        processTracker.addPending(request);
    }

    private void handleCommand(Exchange exchange, Object message) {
        commandMeter.mark();
        CompletableFuture<?> unused = commandHandler
                .handle((CommandRequest) message)
                .whenComplete((reply, error) -> {
                    if (error == null) {
                        exchange.finish(reply);
                    } else {
                        exchange.fail(CommandHandler.toWagtailcartException(error));
                    }
                });
    }

    private void handleSyncBatch(Exchange exchange, Object message) {
        SyncBatch batch = (SyncBatch) message;
        CommandHandler.checkNoMissingFields("digest", batch);
        boolean leading = commandHandler.isLeader();
        if (leading) {
            processTracker.recordBatch(batch.requests(), clock.nowMillis());
        }
        exchange.finish(new SyncBatchReply(
                leading,
                leading ? leaderTasks.grantsFor(batch.requests()) : List.<PowerGrant>of(),
                leading ? processTracker.activeEntryCount(clock.nowMillis(), options.leaseMillis()) : 0));
    }

    private void handleRecordOrigins(Exchange exchange, Object message) {
        CommandHandler.checkNoMissingFields("origins", message);
        exchange.finish(originHandler.record((RecordOrigins) message));
    }

    private void handleFindOrigin(Exchange exchange, Object message) {
        CommandHandler.checkNoMissingFields("origin", message);
        exchange.finish(originHandler.find((FindOrigin) message));
    }

    private void processes(Exchange exchange, Object message) {
        exchange.finish(localProcesses());
    }

    private ProcessesReply localProcesses() {
        boolean leading = commandHandler.isLeader();
        return new ProcessesReply(
                leading,
                leaderTasks.observationMillis(),
                leading ? processTracker.processes(clock.nowMillis()) : List.of());
    }

    private void forwardSyncs() {
        RaftStatus status = log.status();
        if (status.leader().isEmpty()) {
            return;
        }
        List<SyncRequest> requests = processTracker.drainPending();
        long sentAtMillis = clock.nowMillis();
        if (status.role() == RaftStatus.Role.LEADER) {
            processTracker.recordBatch(requests, sentAtMillis);
            storeGrants(leaderTasks.grantsFor(requests), sentAtMillis);
            entryCount = processTracker.activeEntryCount(sentAtMillis, options.leaseMillis());
            return;
        }
        Address leader = status.leader().get().address();
        SyncBatch batch = new SyncBatch(status.self().memberId(), requests);
        CompletableFuture<?> unused = peers.call(
                        leader, batch, SyncBatchReply.class, options.syncForwardIntervalMillis() * 4)
                .whenComplete((reply, error) -> receiveGrants(reply, sentAtMillis));
    }

    private void receiveGrants(@Nullable SyncBatchReply reply, long sentAtMillis) {
        if (reply != null) {
            storeGrants(reply.grants(), sentAtMillis);
            entryCount = reply.entryCount();
        }
    }

    private void storeGrants(List<PowerGrant> grants, long fromMillis) {
        synchronized (grantDeadlinesMillis) {
            grantDeadlinesMillis.values().removeIf(deadline -> deadline <= fromMillis);
            grants.forEach(grant ->
                    grantDeadlinesMillis.merge(grant.upstreamId(), fromMillis + grant.validMillis(), Math::max));
        }
    }

    private List<PowerGrant> grantsFor(SyncRequest request) {
        long nowMillis = clock.nowMillis();
        synchronized (grantDeadlinesMillis) {
            return request.reports().stream()
                    .filter(report -> grantDeadlinesMillis.getOrDefault(report.upstreamId(), nowMillis) > nowMillis)
                    .map(report -> new PowerGrant(
                            report.upstreamId(),
                            grantDeadlinesMillis.getOrDefault(report.upstreamId(), nowMillis) - nowMillis))
                    .toList();
        }
    }

    /**
     * Returns the time since a leader with a quorum confirmed the published state. A confirmation does not count until
     * all commands committed by then are applied.
     */
    @Override
    public long confirmationAgeMillis() {
        RaftStatus status = log.status();
        if (status.appliedIndex() >= status.commitIndex()) {
            confirmedAtMillis = status.confirmedAtMillis();
        }
        return Math.max(0, clock.nowMillis() - confirmedAtMillis);
    }
}
