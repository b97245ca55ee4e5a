package org.wagtailcart.control.usage;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wagtailcart.common.DaemonThreads;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.control.orders.BoundedWait;
import org.wagtailcart.control.orders.OrderLeaseHolder;
import org.wagtailcart.control.orders.PlatformCallLimiter;
import org.wagtailcart.usage.CloseUsageWindow;
import org.wagtailcart.usage.ClosedUsageWindow;
import org.wagtailcart.usage.MarkUsageReported;
import org.wagtailcart.usage.UsageObservation;
import org.wagtailcart.usage.UsagePlan;
import org.wagtailcart.usage.UsagePlanner;
import org.wagtailcart.usage.UsageReportOutcome;

/**
 * Closes usage windows and reports them to the platform while this member is the leader. It has its own thread, so that
 * a platform that does not respond delays nothing but reports.
 */
public final class UsageReporter implements AutoCloseable {
    private static final Logger LOG = System.getLogger(UsageReporter.class.getName());
    /** Interval of planning; small against the time that a report has. */
    private static final long CHECK_INTERVAL_MILLIS = 100;
    /** Time limit of a command; the command may still be applied, which the next plan shows. */
    private static final long COMMAND_TIMEOUT_MILLIS = 2_000;

    /**
     * State for operators.
     *
     * @param leading whether this member closes and reports windows
     * @param fencingToken token of the lease of this member, 0 for none
     * @param trueTimeMillis estimate of the true time, 0 for none
     * @param clocks number of hosts whose clock was read lately
     * @param gateways number of gateways that poll this member
     * @param incompleteMillis age of the counts of the gateway that is furthest behind, -1 if unknown
     * @param unreportedWindows closed windows that the platform has not accepted
     * @param lastOutcome outcome of the last report of this member, empty for none
     */
    public record Dump(
            boolean leading,
            long fencingToken,
            long trueTimeMillis,
            int clocks,
            long gateways,
            long incompleteMillis,
            List<Long> unreportedWindows,
            String lastOutcome) {}

    private final String holder;
    private final OrderLeaseHolder lease;
    private final PlatformCallLimiter limiter;
    private final UsageBackend backend;
    private final UsageObserver observer;
    private final UsageReportClient platform;
    private final long windowMillis;
    private final long lateMillis;
    private final MillisClock clock;
    private final Counter reported;
    private final Counter late;
    private final Counter refused;
    private final Counter unanswered;
    private final ScheduledExecutorService scheduler =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("usage-reports"));
    private UsagePlanner planner;
    private volatile long leadingSinceMillis = Long.MAX_VALUE;
    private volatile String lastOutcome = "";

    /**
     * Creates a reporter. It must be started.
     *
     * @param holder name of this process, which is sent with each report
     * @param limiter limit on the calls of all duties
     * @param lateMillis time after the end of a window at which its report is late
     */
    public UsageReporter(
            String holder,
            OrderLeaseHolder lease,
            PlatformCallLimiter limiter,
            UsageBackend backend,
            UsageObserver observer,
            UsageReportClient platform,
            long windowMillis,
            long lateMillis,
            MetricRegistry registry,
            MillisClock clock) {
        this.holder = holder;
        this.lease = lease;
        this.limiter = limiter;
        this.backend = backend;
        this.observer = observer;
        this.platform = platform;
        this.windowMillis = windowMillis;
        this.lateMillis = lateMillis;
        this.clock = clock;
        this.planner = new UsagePlanner(windowMillis, lateMillis);
        this.reported = registry.counter("usage.windows-reported");
        this.late = registry.counter("usage.windows-late");
        this.refused = registry.counter("usage.reports-refused");
        this.unanswered = registry.counter("usage.reports-unanswered");
        registry.registerGauge("usage.windows-unreported", () -> backend.state().windows().stream()
                .filter(window -> !window.reported())
                .count());
        registry.registerGauge("usage.clocks", observer::clocks);
    }

    /** Starts the periodic checks. */
    public void start() {
        scheduleNext();
    }

    private void scheduleNext() {
        try {
            ScheduledFuture<?> unused =
                    scheduler.schedule(this::runAndRepeat, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.log(Level.DEBUG, "usage reporter stopped: the scheduler rejects new checks");
        }
    }

    /** A periodic task would end with the first error, also with one of the handling of another. */
    private void runAndRepeat() {
        try {
            runSafely();
        } finally {
            scheduleNext();
        }
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    /** Closes and reports at most one window; a failure is logged, and the next check tries again. */
    void runSafely() {
        logFailure(this::runOnce);
    }

    private static void logFailure(Runnable step) {
        try {
            step.run();
        } catch (Throwable e) {
            LOG.log(Level.WARNING, LogEvent.of("usage-report-failed", "reason", e), e);
        }
    }

    /** Returns the state for operators. */
    public Dump dump() {
        long nowMillis = clock.nowMillis();
        long trueMillis = observer.trueTimeMillis(nowMillis).orElse(0);
        long completeMillis = observer.ledger().completeUntilMillis(nowMillis);
        boolean known = trueMillis != 0 && completeMillis != Long.MIN_VALUE;
        return new Dump(
                leadingSinceMillis != Long.MAX_VALUE,
                lease.fencingToken(),
                trueMillis,
                observer.clocks(),
                observer.ledger().activeGateways(nowMillis),
                known ? trueMillis - completeMillis : -1,
                backend.state().windows().stream()
                        .filter(window -> !window.reported())
                        .map(ClosedUsageWindow::window)
                        .toList(),
                lastOutcome);
    }

    /** Closes and reports at most one window. */
    void runOnce() {
        long nowMillis = clock.nowMillis();
        dropOldCounts(nowMillis);
        if (!lease.checkLeader()) {
            leadingSinceMillis = Long.MAX_VALUE;
            planner = new UsagePlanner(windowMillis, lateMillis);
            return;
        }
        leadingSinceMillis = Math.min(leadingSinceMillis, nowMillis);
        lease.ensure();
        UsagePlan plan = planner.plan(observation(nowMillis), backend.state());
        // A window that cannot be closed does not keep others from being reported.
        plan.close().ifPresent(window -> logFailure(() -> closeWindow(window, nowMillis)));
        plan.report()
                .filter(window -> lease.mayCall() && limiter.tryAcquire(0, clock.nowMillis()))
                .ifPresent(this::report);
    }

    private void dropOldCounts(long nowMillis) {
        observer.trueTimeMillis(nowMillis).ifPresent(trueMillis -> observer.ledger()
                .drop(Math.floorDiv(trueMillis, windowMillis) - UsagePlanner.MAX_OPEN_WINDOWS - 1, nowMillis));
    }

    private UsageObservation observation(long nowMillis) {
        return new UsageObservation(
                nowMillis,
                observer.trueTimeMillis(nowMillis),
                leadingSinceMillis,
                observer.ledger().contactSinceMillis(nowMillis),
                observer.ledger().completeUntilMillis(nowMillis),
                observer.ledger().earliestWindow());
    }

    private void closeWindow(long window, long nowMillis) {
        CloseUsageWindow command =
                new CloseUsageWindow(window, observer.ledger().totals(window));
        await(backend.close(command)).ifPresent(closed -> {
            LogEventKind.USAGE_CLOSED.log(
                    LOG,
                    Level.INFO,
                    window,
                    closed.countByWorkspace().size(),
                    closed.total(),
                    observer.ledger().activeGateways(nowMillis),
                    observer.clocks(),
                    afterEndMillis(window));
        });
    }

    private void report(ClosedUsageWindow window) {
        // What fails before the call has not been sent.
        UsageReportOutcome outcome = UsageReportOutcome.NOT_SENT;
        try {
            Optional<OrderLeaseHolder.Permit> permit = lease.confirm();
            if (permit.isPresent()) {
                // A call that fails unexpectedly, or is accepted but not marked, is repeated after a pause.
                outcome = UsageReportOutcome.UNKNOWN;
                UsageReportOutcome result = call(window, permit.get());
                if (!result.accepted() || isMarked(window)) {
                    outcome = result;
                }
            }
        } finally {
            planner.recordOutcome(outcome, clock.nowMillis());
        }
    }

    private UsageReportOutcome call(ClosedUsageWindow window, OrderLeaseHolder.Permit permit) {
        long fencingToken = permit.fencingToken();
        long startMillis = clock.nowMillis();
        UsageReportOutcome outcome = platform.report(holder, fencingToken, window, permit.sendByMillis());
        long doneMillis = clock.nowMillis();
        recordOutcome(window, outcome);
        LogEventKind.USAGE_REPORTED.log(
                LOG,
                outcome.accepted() ? Level.INFO : Level.WARNING,
                window.window(),
                holder,
                fencingToken,
                window.countByWorkspace().size(),
                window.total(),
                SettingNames.of(outcome),
                afterEndMillis(window.window()),
                doneMillis - startMillis);
        if (outcome == UsageReportOutcome.FENCED) {
            lease.lose(fencingToken);
        }
        if (outcome == UsageReportOutcome.THROTTLED) {
            limiter.backOff(doneMillis);
        }
        return outcome;
    }

    private boolean isMarked(ClosedUsageWindow window) {
        return await(backend.mark(new MarkUsageReported(window.window()))).isPresent();
    }

    private void recordOutcome(ClosedUsageWindow window, UsageReportOutcome outcome) {
        lastOutcome = SettingNames.of(outcome);
        switch (outcome) {
            case ACCEPTED -> {
                reported.inc();
                if (afterEndMillis(window.window()) > lateMillis) {
                    late.inc();
                }
            }
            case FENCED, THROTTLED, REFUSED -> refused.inc();
            case UNKNOWN -> unanswered.inc();
            case NOT_SENT -> {}
        }
    }

    /** Returns the time since the end of a window, -1 without an estimate of true time. */
    private long afterEndMillis(long window) {
        return observer.trueTimeMillis(clock.nowMillis()).stream()
                .map(trueMillis -> trueMillis - planner.endMillis(window))
                .findFirst()
                .orElse(-1);
    }

    private static <T> Optional<T> await(CompletableFuture<T> future) {
        return BoundedWait.await(future, COMMAND_TIMEOUT_MILLIS, LOG, "usage-command-failed");
    }
}
