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
import org.wagtailcart.control.client.CommandRequest;
import org.wagtailcart.control.client.ControlClientImpl;
import org.wagtailcart.control.client.LoadDigest;
import org.wagtailcart.control.client.PowerGrant;
import org.wagtailcart.control.client.PrefixCacheUpdate;
import org.wagtailcart.control.client.ProcessesReply;
import org.wagtailcart.control.client.ProcessesRequest;
import org.wagtailcart.control.client.SyncBatchReply;
import org.wagtailcart.control.client.SyncRequest;
import org.wagtailcart.control.client.WatchRequest;
import org.wagtailcart.control.http.OperatorBackend;
import org.wagtailcart.control.http.OperatorServer;
import org.wagtailcart.control.orders.OrderLease;
import org.wagtailcart.control.orders.RoleDuty;
import org.wagtailcart.control.orders.TakeOrderLease;
import org.wagtailcart.control.watch.DirectoryFeed;
import org.wagtailcart.control.watch.RouteWatches;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.Membership;
import org.wagtailcart.coordination.MembershipChange;
import org.wagtailcart.coordination.RaftStatus;
import org.wagtailcart.coordination.ReplicatedLog;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.wire.Exchange;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.PeerClient;
import org.wagtailcart.wire.PeerDispatcher;

/** A control member: answers syncs and commands, forwards load to the leader and leads when elected. */
public final class ControlRole implements RoleService, OperatorBackend {
    private static final Logger LOG = System.getLogger(ControlRole.class.getName());

    // An election takes 1 to 3 s; an operator rather waits than repeats by hand.
    private static final long OPERATOR_TIMEOUT_MILLIS = 10_000;
    private static final long WATCH_CHECK_MILLIS = 50;

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
    private final LoadBook book = new LoadBook();
    private final Commands commands;
    private final SyncReplyBuilder syncReplyBuilder;
    private final LeaderDuties duties;
    private final DirectoryFeed feed = new DirectoryFeed();
    private final RouteWatches watches;
    private final Meter syncs;
    private final Meter commandsReceived;
    private final Map<String, Long> grantDeadlinesMillis = new HashMap<>();
    // Earlier than any monotonic time, so that an unconfirmed member grants no lease.
    private volatile long confirmedAtMillis = Long.MIN_VALUE / 4;
    private final List<ScheduledFuture<?>> tasks = new ArrayList<>();
    private volatile int entryCount;
    private volatile boolean started;
    private @Nullable OperatorServer operatorServer;

    /**
     * Creates a member that does not serve yet.
     *
     * @param codec codec with the messages of settings, fleet, keys and control
     * @param dispatcher receives the handlers of this role when it starts
     * @param peers connections to the leader
     * @param executor runs the operators' requests; they may wait for their body
     * @param scheduler runs digests and planning
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
        this.commands = new Commands(log, state, codec);
        this.syncReplyBuilder = new SyncReplyBuilder(codec);
        this.duties = new LeaderDuties(commands, state, book, planner, clock);
        this.watches = new RouteWatches(state::routes, log::status, this::confirmationAgeMillis, feed, clock);
        this.syncs = registry.meter("control.syncs");
        this.commandsReceived = registry.meter("control.commands");
    }

    @Override
    public void start() {
        dispatcher.register(SyncRequest.class, this::sync);
        dispatcher.register(CommandRequest.class, this::command);
        dispatcher.register(LoadDigest.class, this::digest);
        dispatcher.register(ProcessesRequest.class, this::processes);
        repeat(this::forwardDigest, options.digestMillis());
        repeat(duties::run, options.planMillis());
        dispatcher.register(WatchRequest.class, watches::watch);
        state.onRoutesChanged(() -> executor.execute(watches::replyDue));
        repeat(watches::replyDue, WATCH_CHECK_MILLIS);
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
        return ControlDump.of(log.status(), state.published(), confirmationAgeMillis());
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
        if (commands.isLeader()) {
            return commands.propose(command).thenApply(resultType::cast);
        }
        RaftStatus status = log.status();
        List<Address> members = Stream.concat(status.leader().stream(), status.membership().members().stream())
                .map(Member::address)
                .distinct()
                .toList();
        if (members.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new WagtailcartException(ResultCode.NOT_LEADER, "this member belongs to no group yet"));
        }
        return new ControlClientImpl(peers, codec, members, scheduler)
                .submit(command, resultType, OPERATOR_TIMEOUT_MILLIS);
    }

    @Override
    public CompletableFuture<ProcessesReply> processes() {
        RaftStatus status = log.status();
        if (status.role() == RaftStatus.Role.LEADER) {
            return CompletableFuture.completedFuture(ownProcesses());
        }
        return status.leader()
                .map(leader -> peers.call(
                        leader.address(),
                        new ProcessesRequest(status.self().memberId()),
                        ProcessesReply.class,
                        OPERATOR_TIMEOUT_MILLIS))
                .orElseGet(() -> CompletableFuture.failedFuture(
                        new WagtailcartException(ResultCode.NOT_LEADER, "no leader is known")));
    }

    @Override
    public CompletableFuture<Membership> changeMembers(MembershipChange change) {
        return log.changeMembership(change);
    }

    /** Returns the right of this member to give orders, for the planning of roles. */
    public RoleDuty.Authority orderAuthority() {
        return new RoleDuty.Authority() {
            @Override
            public boolean isLeader() {
                return started && commands.isLeader();
            }

            @Override
            public CompletableFuture<Long> confirm() {
                return log.confirmLeadership();
            }

            @Override
            public OrderLease lease() {
                return state.orderLease();
            }

            @Override
            public CompletableFuture<OrderLease> takeLease(String holder) {
                return commands.propose(new TakeOrderLease(holder)).thenApply(OrderLease.class::cast);
            }
        };
    }

    /** Returns what passes the leader's news on to the gateways. */
    public RoleDuty.GatewayFeed gatewayFeed() {
        return new RoleDuty.GatewayFeed() {
            @Override
            public void list(List<ListedUpstream> upstreams, long readAtMillis) {
                if (feed.accept(upstreams, readAtMillis)) {
                    watches.replyDue();
                }
            }

            @Override
            public void publishCachedSegments(PrefixCacheUpdate note) {
                watches.note(note);
            }
        };
    }

    /** Returns whether callers are being served, as far as the gateways told this member. */
    public boolean trafficSeen() {
        return watches.trafficSeen();
    }

    private void repeat(Runnable task, long periodMillis) {
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

    private void sync(Exchange exchange, Object message) {
        syncs.mark();
        SyncRequest request = (SyncRequest) message;
        Commands.checkComplete("sync", request);
        // The age is read before the state, so that a confirmation never covers more than the state that is answered.
        long ageMillis = confirmationAgeMillis();
        PublishedState published = state.published();
        exchange.finish(syncReplyBuilder.buildReply(
                request, published, ageMillis, grantsFor(request), commands.leaderAddress(), entryCount));
        book.heard(request);
    }

    private void command(Exchange exchange, Object message) {
        commandsReceived.mark();
        CompletableFuture<?> unused = commands.run((CommandRequest) message).whenComplete((reply, error) -> {
            if (error == null) {
                exchange.finish(reply);
            } else {
                exchange.fail(Commands.toKnown(error));
            }
        });
    }

    private void digest(Exchange exchange, Object message) {
        LoadDigest digest = (LoadDigest) message;
        Commands.checkComplete("digest", digest);
        boolean leading = commands.isLeader();
        if (leading) {
            book.digest(digest.requests(), clock.nowMillis());
        }
        exchange.finish(new SyncBatchReply(
                leading,
                leading ? duties.grantsFor(digest.requests()) : List.<PowerGrant>of(),
                leading ? book.entries(clock.nowMillis(), options.leaseMillis()) : 0));
    }

    private void processes(Exchange exchange, Object message) {
        exchange.finish(ownProcesses());
    }

    private ProcessesReply ownProcesses() {
        boolean leading = commands.isLeader();
        return new ProcessesReply(
                leading, duties.observedMillis(), leading ? book.processes(clock.nowMillis()) : List.of());
    }

    private void forwardDigest() {
        RaftStatus status = log.status();
        if (status.leader().isEmpty()) {
            return;
        }
        List<SyncRequest> requests = book.takePending();
        long sentAtMillis = clock.nowMillis();
        if (status.role() == RaftStatus.Role.LEADER) {
            book.digest(requests, sentAtMillis);
            keepGrants(duties.grantsFor(requests), sentAtMillis);
            entryCount = book.entries(sentAtMillis, options.leaseMillis());
            return;
        }
        Address leader = status.leader().get().address();
        LoadDigest digest = new LoadDigest(status.self().memberId(), requests);
        CompletableFuture<?> unused = peers.call(leader, digest, SyncBatchReply.class, options.digestMillis() * 4)
                .whenComplete((reply, error) -> receiveGrants(reply, sentAtMillis));
    }

    private void receiveGrants(@Nullable SyncBatchReply reply, long sentAtMillis) {
        if (reply != null) {
            keepGrants(reply.grants(), sentAtMillis);
            entryCount = reply.entryCount();
        }
    }

    private void keepGrants(List<PowerGrant> grants, long fromMillis) {
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
     * Returns the time since the published state was confirmed. A confirmation that arrives before its commands are
     * applied does not count yet.
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
