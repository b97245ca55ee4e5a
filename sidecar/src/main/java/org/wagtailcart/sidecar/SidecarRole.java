package org.wagtailcart.sidecar;

import com.codahale.metrics.MetricRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RoleService;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.client.ControlClient;
import org.wagtailcart.control.client.ControlView;
import org.wagtailcart.control.client.LoadReport;
import org.wagtailcart.fleet.OrderState;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.sidecar.message.AttemptQuery;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.order.OrderExecutor;
import org.wagtailcart.sidecar.upstream.EngineClient;
import org.wagtailcart.sidecar.upstream.EngineLoad;
import org.wagtailcart.sidecar.upstream.UpstreamClient;
import org.wagtailcart.wire.PeerDispatcher;

/**
 * Sidecar process role: a proxy on the host of one or more upstreams. All requests and orders reach these upstreams
 * through it.
 */
public final class SidecarRole implements RoleService {
    private static final Logger LOG = System.getLogger(SidecarRole.class.getName());
    private static final long TICK_MILLIS = 100;
    /** Polls the load and reachability of each upstream about once per second. */
    private static final int TICKS_PER_POLL = 10;

    private final SidecarOptions options;
    private final ControlClient control;
    private final ControlView view;
    private final ExecutorService traffic;
    private final ScheduledExecutorService controlThread;
    private final MillisClock clock = MillisClock.monotonic();
    private final SidecarEpoch epoch;
    private final SidecarRegistrar registrar;
    private final AttemptHandler attempts;
    private final EngineClient engines;
    private final UpstreamSettings settings;
    private final Map<String, UpstreamState> upstreamStates = new ConcurrentHashMap<>();
    private final Map<String, OrderRunner> orderRunners = new ConcurrentHashMap<>();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private @Nullable ScheduledFuture<?> ticker;
    private volatile boolean draining;
    private long ticks;

    /**
     * Creates a sidecar and registers its message handlers.
     *
     * @param traffic threads for blocking calls to upstreams; at most one per running request
     * @param controlThread single thread that runs ticks, orders and the registration
     */
    public SidecarRole(
            SidecarOptions options,
            ControlClient control,
            ControlView view,
            PeerDispatcher dispatcher,
            ExecutorService traffic,
            ScheduledExecutorService controlThread,
            MetricRegistry registry) {
        this(options, control, view, dispatcher, traffic, controlThread, registry, () -> view.settings()
                .revision());
    }

    SidecarRole(
            SidecarOptions options,
            ControlClient control,
            ControlView view,
            PeerDispatcher dispatcher,
            ExecutorService traffic,
            ScheduledExecutorService controlThread,
            MetricRegistry registry,
            LongSupplier revision) {
        this.options = options;
        this.control = control;
        this.view = view;
        this.traffic = traffic;
        this.controlThread = controlThread;
        epoch = new SidecarEpoch(options);
        registrar = new SidecarRegistrar(options, control, controlThread, epoch);
        UpstreamClient client = new UpstreamClient(options.upstream(), clock);
        engines = new EngineClient(client);
        settings = new UpstreamSettings(view, clock, options.drainLimitMillis());
        RevisionGate revisions = new RevisionGate(revision, clock, options.revisionWaitMillis());
        attempts = new AttemptHandler(
                options, view, epoch, revisions, settings, client, engines, traffic, clock, registry, this);
        dispatcher.register(
                AttemptRequest.class, (exchange, request) -> attempts.handle(exchange, (AttemptRequest) request));
        dispatcher.register(
                AttemptQuery.class, (exchange, request) -> exchange.finish(epoch.query((AttemptQuery) request)));
    }

    @Override
    public void start() {
        registrar.start();
        ticker = controlThread.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
        view.onChange(() -> controlThread.execute(this::tick));
    }

    @Override
    public boolean ready() {
        return epoch.valid() && !draining;
    }

    /** Returns whether the sidecar rejects new requests because it is shutting down. */
    boolean draining() {
        return draining;
    }

    /** Returns the load report of each upstream of this sidecar for the period since the previous call. */
    public List<LoadReport> collectLoadReports() {
        long now = clock.nowMillis();
        return view.upstreams().stream()
                .filter(upstream -> upstream.sidecarId().equals(options.sidecarId()))
                .map(upstream -> upstreamState(upstream.upstreamId()).collectLoadReport(now))
                .toList();
    }

    @Override
    public CompletableFuture<Void> drain() {
        draining = true;
        LOG.log(Level.INFO, LogEvent.of("sidecar-drain", "sidecar", options.sidecarId()));
        return drained;
    }

    @Override
    public Record dump() {
        List<SidecarDump.Upstream> upstreams = upstreamStates.entrySet().stream()
                .map(entry -> dumpOf(entry.getKey(), entry.getValue()))
                .toList();
        return new SidecarDump(
                options.sidecarId(),
                epoch.number(),
                epoch.superseded(),
                draining,
                epoch.recordedAttempts(),
                epoch.floor(),
                upstreams);
    }

    private SidecarDump.Upstream dumpOf(String upstreamId, UpstreamState state) {
        OrderRunner runner = orderRunners.get(upstreamId);
        OrderExecutor.Phase phase = runner == null ? OrderExecutor.Phase.IDLE : runner.phase();
        return new SidecarDump.Upstream(
                upstreamId, state.reachable(), state.running(), state.queued(), state.limit(), phase);
    }

    @Override
    public void close() {
        draining = true;
        registrar.stop();
        if (ticker != null) {
            ticker.cancel(false);
        }
        upstreamStates.values().forEach(state -> state.runningAttempts().forEach(SidecarRole::abortForShutdown));
    }

    private static void abortForShutdown(Attempt attempt) {
        attempt.abort(new WagtailcartException(
                ResultCode.SHUTTING_DOWN, RunState.MAY_HAVE_RUN, "sidecar was stopped while the request was running"));
    }

    /** Returns the state of an upstream, which is created on first use. */
    UpstreamState upstreamState(String upstreamId) {
        return upstreamStates.computeIfAbsent(
                upstreamId, id -> new UpstreamState(id, options.queueLimit(), clock.nowMillis()));
    }

    private void tick() {
        try {
            Collection<UpstreamView> own = view.upstreams().stream()
                    .filter(upstream -> upstream.sidecarId().equals(options.sidecarId()))
                    .toList();
            own.forEach(upstream -> epoch.observe(upstream.epoch()));
            attempts.tick();
            own.forEach(this::tickUpstream);
            ticks++;
            completeDrainIfIdle();
        } catch (RuntimeException e) {
            // An exception would cancel the periodic task; the next tick runs as usual.
            LOG.log(Level.ERROR, LogEvent.of("tick-failed", "reason", e), e);
        }
    }

    /**
     * Completes the drain once no request and no order is in progress. Orders of a superseded epoch are not awaited.
     */
    private void completeDrainIfIdle() {
        boolean ordersDone = !epoch.valid() || orderRunners.values().stream().noneMatch(OrderRunner::busy);
        if (draining && ordersDone && attempts.inFlight() == 0) {
            drained.complete(null);
        }
    }

    private void tickUpstream(UpstreamView upstream) {
        UpstreamState state = upstreamState(upstream.upstreamId());
        attempts.applyLimits(state, upstream);
        boolean leaving = !upstream.lifecycle().acceptsNewRequests();
        long leavingMillis = state.updateLeaving(leaving, clock.nowMillis());
        if (upstream.kind() == UpstreamKind.ENGINE && leaving && leavingMillis >= settings.drainLimitMillis(upstream)) {
            attempts.abortForResume(state, ResultCode.UPSTREAM_LEAVING);
        }
        if (upstream.kind() == UpstreamKind.ENGINE && epoch.valid()) {
            tickOrders(state, upstream);
        }
        if (ticks % TICKS_PER_POLL == 0 && state.tryBeginPoll()) {
            traffic.execute(() -> poll(state, upstream));
        }
    }

    private void tickOrders(UpstreamState state, UpstreamView upstream) {
        OrderRunner runner = orderRunners.computeIfAbsent(upstream.upstreamId(), this::newRunner);
        boolean ordered = upstream.orderState() == OrderState.ISSUED || upstream.startedOrderNumber() > 0;
        int inFlight = state.blockForOrder(ordered || runner.busy());
        if (!draining || runner.busy()) {
            runner.step(upstream, epoch.number(), inFlight, settings.drainLimitMillis(upstream));
        }
    }

    private OrderRunner newRunner(String upstreamId) {
        return new OrderRunner(
                upstreamId,
                new OrderExecutor(options.order()),
                control,
                engines,
                traffic,
                controlThread,
                clock,
                () -> attempts.abortForResume(upstreamState(upstreamId), ResultCode.ENGINE_BUSY_WITH_ORDER));
    }

    private void poll(UpstreamState state, UpstreamView upstream) {
        try {
            if (upstream.kind() == UpstreamKind.ENGINE) {
                state.endPoll(true, engines.load(upstream.address()));
            } else {
                state.endPoll(engines.acceptsConnections(upstream.address()), EngineLoad.NONE);
            }
        } catch (RuntimeException e) {
            LOG.log(Level.DEBUG, LogEvent.of("poll-failed", "upstream", upstream.upstreamId(), "reason", e));
            state.endPoll(false, EngineLoad.NONE);
        }
    }
}
