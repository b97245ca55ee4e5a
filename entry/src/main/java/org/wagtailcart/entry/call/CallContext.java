package org.wagtailcart.entry.call;

import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.client.ControlClient;
import org.wagtailcart.control.client.ControlView;
import org.wagtailcart.entry.admission.RequestDispatcher;
import org.wagtailcart.entry.admission.RetryBudget;
import org.wagtailcart.entry.request.RequestKind;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.policy.routing.AttemptOutcome;
import org.wagtailcart.wire.PeerClient;

/**
 * Components of the entry that its calls share.
 *
 * @param view view of settings and upstreams
 * @param control client of the control group
 * @param peers client of the sidecars
 * @param dispatcher dispatcher to the router, with the request queues
 * @param retryBudget retry budget of the entry
 * @param counters counters of the stages
 * @param timer runs delayed tasks, each of which continues on its request's executor
 * @param clock monotonic clock
 * @param newWorkPolicy policy for new work
 */
public record CallContext(
        ControlView view,
        ControlClient control,
        PeerClient peers,
        RequestDispatcher dispatcher,
        RetryBudget retryBudget,
        StageCounters counters,
        ScheduledExecutorService timer,
        MillisClock clock,
        NewWorkPolicy newWorkPolicy) {
    private static final long SYNC_CHECK_MILLIS = 50;
    private static final int MAX_SYNC_CHECKS = 100;

    /** Policy that decides whether new work is served now. */
    @FunctionalInterface
    public interface NewWorkPolicy {
        /** Returns whether new work of a kind may be started now. */
        boolean allows(RequestKind kind);
    }

    /** Returns the outcome of a failed attempt that is reported to the router for its upstream. */
    static AttemptOutcome outcomeOf(WagtailcartException error) {
        return switch (error.code()) {
            case SETTINGS_REVISION_STALE, CALLER_GONE -> AttemptOutcome.CANCELLED;
            case CONNECT_FAILED -> AttemptOutcome.FAILURE;
            default -> error.runState() == RunState.NOT_RUN ? AttemptOutcome.REFUSED : AttemptOutcome.FAILURE;
        };
    }

    /** Returns a random attempt id. */
    static String newAttemptId() {
        return UUID.randomUUID().toString();
    }

    /** Returns an upstream that can be reached through a sidecar. */
    Optional<UpstreamView> upstream(String upstreamId) {
        return view.upstream(upstreamId);
    }

    /** Runs a task on an executor after a delay. */
    Future<?> schedule(long delayMillis, Executor executor, Runnable task) {
        return timer.schedule(() -> tryExecute(executor, task), Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    }

    /** Requests newer settings and runs a task once they are installed, or after five seconds without them. */
    void runAfterSettingsSync(long staleRevision, Executor executor, Runnable task) {
        view.requestSync();
        awaitRevision(staleRevision, MAX_SYNC_CHECKS, executor, task);
    }

    private void awaitRevision(long staleRevision, int remainingChecks, Executor executor, Runnable task) {
        if (view.settings().revision() != staleRevision || remainingChecks == 0) {
            tryExecute(executor, task);
        } else {
            var unused = schedule(
                    SYNC_CHECK_MILLIS,
                    executor,
                    () -> awaitRevision(staleRevision, remainingChecks - 1, executor, task));
        }
    }

    /** Runs a task on an executor, unless the executor has been shut down with the process. */
    static void tryExecute(Executor executor, Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            // The connection's I/O thread has ended, so the result has no receiver.
            return;
        }
    }
}
