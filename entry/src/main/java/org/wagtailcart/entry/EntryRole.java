package org.wagtailcart.entry;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.handlers.HttpContinueReadHandler;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RoleService;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.client.ControlClient;
import org.wagtailcart.control.client.ControlView;
import org.wagtailcart.control.client.LoadReport;
import org.wagtailcart.entry.admission.Admission;
import org.wagtailcart.entry.admission.DemandMeter;
import org.wagtailcart.entry.admission.Dispatch;
import org.wagtailcart.entry.admission.RetryBudget;
import org.wagtailcart.entry.admission.WorkspaceLimits;
import org.wagtailcart.entry.call.CallContext;
import org.wagtailcart.entry.call.StageCounters;
import org.wagtailcart.entry.request.PoolDirectory;
import org.wagtailcart.entry.request.RequestKind;
import org.wagtailcart.policy.routing.Router;
import org.wagtailcart.wire.PeerClient;

/** The entry: takes the requests of callers and passes them to sidecars. */
public final class EntryRole implements RoleService {
    /** Time within which the head of a request must arrive whole. */
    private static final int REQUEST_HEAD_TIMEOUT_MILLIS = 10_000;

    /** Time after which a connection without a request is closed; longer than load balancers keep theirs. */
    private static final int IDLE_TIMEOUT_MILLIS = 600_000;

    private static final long PUMP_MILLIS = 50;

    private final EntryOptions options;
    private final ControlView view;
    private final ScheduledExecutorService timer;
    private final MillisClock clock;
    private final Dispatch dispatch;
    private final WorkspaceLimits limits = new WorkspaceLimits();
    private final DemandMeter demand;
    private final CallerHandler handler;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private final AtomicBoolean installing = new AtomicBoolean();
    private volatile PoolDirectory pools;
    private volatile boolean draining;
    private volatile boolean refusing;
    private Future<?> pumping = CompletableFuture.completedFuture(null);
    private @Nullable Undertow server;

    /**
     * Creates an entry that does not listen yet.
     *
     * @param timer runs short delayed tasks
     * @param clock monotonic clock, the one of the view's lease
     */
    public EntryRole(
            EntryOptions options,
            ControlClient control,
            ControlView view,
            PeerClient peers,
            Router router,
            Admission admission,
            RetryBudget budget,
            ScheduledExecutorService timer,
            MillisClock clock,
            MetricRegistry registry) {
        if (timer instanceof ScheduledThreadPoolExecutor pool) {
            // Deadlines of finished requests would otherwise stay in memory until they pass.
            pool.setRemoveOnCancelPolicy(true);
        }
        this.options = options;
        this.view = view;
        this.timer = timer;
        this.clock = clock;
        this.pools = new PoolDirectory(view.settings(), view.upstreams());
        this.dispatch = new Dispatch(router, admission, clock, pools);
        CallContext context = new CallContext(
                view, control, peers, dispatch, budget, new StageCounters(registry), timer, clock, this::allows);
        this.demand = new DemandMeter(clock.nowMillis());
        this.handler = new CallerHandler(context, limits, demand, new HandlerState());
    }

    private final class HandlerState implements CallerHandler.State {
        @Override
        public boolean ready() {
            return EntryRole.this.ready();
        }

        @Override
        public boolean refusesNewWork() {
            return refusing;
        }

        @Override
        public PoolDirectory pools() {
            return pools;
        }

        @Override
        public void requestEnded() {
            completeIfDrained();
        }
    }

    @Override
    public synchronized void start() {
        view.onChange(this::installSoon);
        install();
        Undertow started = Undertow.builder()
                .addHttpListener(
                        options.callerAddress().port(), options.callerAddress().ip())
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_HEAD_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setWorkerThreads(1)
                .setHandler(new HttpContinueReadHandler(handler))
                .build();
        listen(started);
        pumping = timer.scheduleWithFixedDelay(dispatch::pumpAll, PUMP_MILLIS, PUMP_MILLIS, TimeUnit.MILLISECONDS);
        server = started;
    }

    private void listen(Undertow starting) {
        try {
            starting.start();
        } catch (RuntimeException e) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "cannot listen on " + options.callerAddress(), e);
        }
    }

    /** Returns the demand of each model since the previous call, for the sync. */
    public List<LoadReport> reports() {
        return demand.reports(clock.nowMillis());
    }

    @Override
    public boolean ready() {
        return !draining && allows(RequestKind.COMPLETION);
    }

    /** Fails readiness at once, serves for the grace period, then refuses new work; completes when no request is open. */
    @Override
    public CompletableFuture<Void> drain() {
        draining = true;
        var unused = timer.schedule(this::rejectNewWork, options.shutdownGraceMillis(), TimeUnit.MILLISECONDS);
        return drained;
    }

    @Override
    public EntryDump dump() {
        return new EntryDump(
                ready(),
                draining,
                view.settings().revision(),
                view.leaseDeadlineMillis() - clock.nowMillis(),
                handler.openRequests(),
                dispatch.waiting(),
                dispatch.routed(),
                limits.tracked());
    }

    @Override
    public synchronized void close() {
        refusing = true;
        pumping.cancel(false);
        Undertow running = server;
        if (running != null) {
            running.stop();
            server = null;
        }
        drained.complete(null);
    }

    private void rejectNewWork() {
        refusing = true;
        completeIfDrained();
    }

    private void completeIfDrained() {
        if (refusing && handler.openRequests() == 0) {
            drained.complete(null);
        }
    }

    private boolean allows(RequestKind kind) {
        return clock.nowMillis() < view.leaseDeadlineMillis()
                || options.onControlLoss().serves(kind);
    }

    /** Leaves the thread that installs settings; several changes in a row are installed at once. */
    private void installSoon() {
        if (installing.compareAndSet(false, true)) {
            timer.execute(this::install);
        }
    }

    private synchronized void install() {
        installing.set(false);
        PoolDirectory latest = new PoolDirectory(view.settings(), view.upstreams());
        pools = latest;
        dispatch.update(latest, view.upstreams());
    }
}
