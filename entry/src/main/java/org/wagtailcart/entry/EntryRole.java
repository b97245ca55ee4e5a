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
import org.wagtailcart.entry.admission.AdmissionController;
import org.wagtailcart.entry.admission.DemandMeter;
import org.wagtailcart.entry.admission.RequestDispatcher;
import org.wagtailcart.entry.admission.RetryBudget;
import org.wagtailcart.entry.admission.WorkspaceRateLimiter;
import org.wagtailcart.entry.call.CallContext;
import org.wagtailcart.entry.call.StageCounters;
import org.wagtailcart.entry.request.HttpRequestHead;
import org.wagtailcart.entry.request.PoolDirectory;
import org.wagtailcart.entry.request.RequestKind;
import org.wagtailcart.policy.routing.Router;
import org.wagtailcart.wire.PeerClient;

/** Entry process role: accepts the HTTP requests of callers and forwards them to sidecars. */
public final class EntryRole implements RoleService {
    /** Time within which a complete request head must arrive. */
    private static final int REQUEST_HEAD_TIMEOUT_MILLIS = 10_000;

    /** Time after which an idle connection is closed; longer than load balancers keep idle connections. */
    private static final int IDLE_TIMEOUT_MILLIS = 600_000;

    private static final long QUEUE_DISPATCH_INTERVAL_MILLIS = 50;

    private final EntryOptions options;
    private final ControlView view;
    private final ScheduledExecutorService timer;
    private final MillisClock clock;
    private final RequestDispatcher dispatcher;
    private final WorkspaceRateLimiter rateLimiter = new WorkspaceRateLimiter();
    private final DemandMeter demand;
    private final CallerRequestHandler handler;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private final AtomicBoolean installScheduled = new AtomicBoolean();
    private volatile PoolDirectory pools;
    private volatile boolean draining;
    private volatile boolean rejectingNewWork;
    private Future<?> queueDispatchTask = CompletableFuture.completedFuture(null);
    private @Nullable Undertow server;

    /**
     * Creates an entry that does not listen yet.
     *
     * @param timer runs short delayed tasks
     * @param clock monotonic clock, on which the lease deadline of the view is based too
     */
    public EntryRole(
            EntryOptions options,
            ControlClient control,
            ControlView view,
            PeerClient peers,
            Router router,
            AdmissionController admission,
            RetryBudget budget,
            ScheduledExecutorService timer,
            MillisClock clock,
            MetricRegistry registry) {
        if (timer instanceof ScheduledThreadPoolExecutor pool) {
            // Otherwise the deadline timers of finished requests stay in memory until the deadlines pass.
            pool.setRemoveOnCancelPolicy(true);
        }
        this.options = options;
        this.view = view;
        this.timer = timer;
        this.clock = clock;
        this.pools = new PoolDirectory(view.settings(), view.upstreams());
        this.dispatcher = new RequestDispatcher(router, admission, clock, pools);
        CallContext context = new CallContext(
                view,
                control,
                peers,
                dispatcher,
                budget,
                new StageCounters(registry),
                timer,
                clock,
                this::allowsNewWork);
        this.demand = new DemandMeter(clock.nowMillis());
        this.handler = new CallerRequestHandler(context, rateLimiter, demand, new EntryStateView());
    }

    private final class EntryStateView implements CallerRequestHandler.EntryState {
        @Override
        public boolean ready() {
            return EntryRole.this.ready();
        }

        @Override
        public boolean rejectsNewWork() {
            return rejectingNewWork;
        }

        @Override
        public PoolDirectory pools() {
            return pools;
        }

        @Override
        public void onRequestEnded() {
            completeIfDrained();
        }
    }

    @Override
    public synchronized void start() {
        view.onChange(this::scheduleInstall);
        install();
        Undertow listener = Undertow.builder()
                .addHttpListener(
                        options.callerAddress().port(), options.callerAddress().ip())
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_HEAD_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, HttpRequestHead.MAX_BYTES)
                .setWorkerThreads(1)
                .setHandler(new HttpContinueReadHandler(handler))
                .build();
        listen(listener);
        queueDispatchTask = timer.scheduleWithFixedDelay(
                dispatcher::dispatchQueued,
                QUEUE_DISPATCH_INTERVAL_MILLIS,
                QUEUE_DISPATCH_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        server = listener;
    }

    private void listen(Undertow listener) {
        try {
            listener.start();
        } catch (RuntimeException e) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "cannot listen on " + options.callerAddress(), e);
        }
    }

    /** Returns the demand of each model since the previous call, for the sync with the control group. */
    public List<LoadReport> collectLoadReports() {
        return demand.collectLoadReports(clock.nowMillis());
    }

    @Override
    public boolean ready() {
        return !draining && allowsNewWork(RequestKind.COMPLETION);
    }

    /**
     * Fails readiness at once, accepts new work for the grace period and rejects it after that. The future completes
     * when no request is open.
     */
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
                dispatcher.queuedCount(),
                dispatcher.routedCount(),
                rateLimiter.trackedCount(),
                pools.weights().size());
    }

    @Override
    public synchronized void close() {
        rejectingNewWork = true;
        queueDispatchTask.cancel(false);
        Undertow running = server;
        if (running != null) {
            running.stop();
            server = null;
        }
        drained.complete(null);
    }

    private void rejectNewWork() {
        rejectingNewWork = true;
        completeIfDrained();
    }

    private void completeIfDrained() {
        if (rejectingNewWork && handler.openRequests() == 0) {
            drained.complete(null);
        }
    }

    private boolean allowsNewWork(RequestKind kind) {
        return clock.nowMillis() < view.leaseDeadlineMillis()
                || options.controlLossPolicy().allowsNewWork(kind);
    }

    /**
     * Schedules an install on the timer, so that the thread that reports a change does not run it. Changes that arrive
     * before the install share it.
     */
    private void scheduleInstall() {
        if (installScheduled.compareAndSet(false, true)) {
            timer.execute(this::install);
        }
    }

    private synchronized void install() {
        installScheduled.set(false);
        PoolDirectory latest = new PoolDirectory(view.settings(), view.upstreams());
        pools = latest;
        dispatcher.update(latest, view.upstreams());
    }
}
