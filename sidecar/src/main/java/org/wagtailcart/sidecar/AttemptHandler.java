package org.wagtailcart.sidecar;

import com.codahale.metrics.MetricRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.client.ControlView;
import org.wagtailcart.fleet.OrderState;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.queue.PriorityConcurrencyLimiter;
import org.wagtailcart.sidecar.upstream.EngineClient;
import org.wagtailcart.sidecar.upstream.UpstreamCall;
import org.wagtailcart.sidecar.upstream.UpstreamClient;
import org.wagtailcart.wire.Exchange;

/**
 * Runs attempts from their receipt to their end: claim, revision check, admission, upstream call, result. An attempt is
 * claimed in the ledger before any other check, so that every later rejection is recorded as not sent before it is
 * reported to the entry.
 */
final class AttemptHandler {
    private static final Logger LOG = System.getLogger(AttemptHandler.class.getName());

    private final SidecarOptions options;
    private final ControlView view;
    private final SidecarEpoch epoch;
    private final RevisionGate revisions;
    private final UpstreamSettings settings;
    private final UpstreamClient client;
    private final EngineClient engines;
    private final Executor traffic;
    private final MillisClock clock;
    private final MetricRegistry registry;
    private final SidecarRole role;
    private final AtomicInteger inFlight = new AtomicInteger();

    AttemptHandler(
            SidecarOptions options,
            ControlView view,
            SidecarEpoch epoch,
            RevisionGate revisions,
            UpstreamSettings settings,
            UpstreamClient client,
            EngineClient engines,
            Executor traffic,
            MillisClock clock,
            MetricRegistry registry,
            SidecarRole role) {
        this.options = options;
        this.view = view;
        this.epoch = epoch;
        this.revisions = revisions;
        this.settings = settings;
        this.client = client;
        this.engines = engines;
        this.traffic = traffic;
        this.clock = clock;
        this.registry = registry;
        this.role = role;
    }

    /** Returns the number of attempts that are queued or running. */
    int inFlight() {
        return inFlight.get();
    }

    /** Starts processing an attempt; its result is sent on the exchange. */
    void handle(Exchange exchange, AttemptRequest request) {
        Attempt attempt = new Attempt(
                exchange,
                request,
                clock.nowMillis() + request.remainingMillis(),
                options.maxRecordedBodyBytes(),
                () -> role.upstreamState(request.upstreamId()).countToken());
        try {
            epoch.claim(request);
        } catch (WagtailcartException e) {
            end(attempt, e);
            return;
        }
        inFlight.incrementAndGet();
        exchange.onCancel(() -> traffic.execute(() -> onCancelled(attempt)));
        checkRevision(attempt);
    }

    /** Admits attempts whose settings revision has arrived, and rejects those held for too long. */
    void tick() {
        revisions.takeReady().forEach(this::recheckRevision);
    }

    /** Rejects expired attempts of an upstream, and starts queued ones that its current limits allow. */
    void applyLimits(UpstreamState state, UpstreamView upstream) {
        state.expire(clock.nowMillis()).forEach(attempt -> rejectUnsent(attempt, deadlineExpired()));
        state.applyLimits(settings.limits(upstream)).forEach(this::schedule);
    }

    /**
     * Rejects the queued attempts of an engine and aborts its idempotent streams, so that entries resume them on
     * another engine.
     *
     * @param code result code reported to the entries
     */
    void abortForResume(UpstreamState state, ResultCode code) {
        state.removeQueued()
                .forEach(attempt -> rejectUnsent(
                        attempt,
                        new WagtailcartException(
                                code, "engine is draining for a configuration change or its removal")));
        state.resumableAttempts()
                .forEach(attempt -> attempt.abort(new WagtailcartException(
                        code,
                        RunState.MAY_HAVE_RUN,
                        "drain limit of the engine has passed; resume the stream on another engine")));
    }

    private void checkRevision(Attempt attempt) {
        switch (revisions.admitOrHold(attempt)) {
            case PROCEED -> admit(attempt);
            case WAIT -> view.requestSync();
            case REJECT -> rejectUnsent(attempt, revisions.staleRevisionError(attempt));
        }
    }

    private void recheckRevision(Attempt attempt) {
        if (revisions.compare(attempt) == RevisionGate.Decision.PROCEED) {
            admit(attempt);
        } else {
            rejectUnsent(attempt, revisions.staleRevisionError(attempt));
        }
    }

    private void admit(Attempt attempt) {
        try {
            UpstreamView upstream = requireAvailableUpstream(attempt.request());
            UpstreamState state = role.upstreamState(upstream.upstreamId());
            PriorityConcurrencyLimiter.OfferResult<Attempt> offer = state.offer(attempt, settings.limits(upstream));
            offer.rejected()
                    .forEach(excess -> rejectUnsent(
                            excess,
                            new WagtailcartException(ResultCode.QUEUE_FULL, "sidecar queue of the upstream is full")));
            offer.started().forEach(this::schedule);
        } catch (WagtailcartException e) {
            rejectUnsent(attempt, e);
        }
    }

    private UpstreamView requireAvailableUpstream(AttemptRequest request) {
        if (role.draining()) {
            throw new WagtailcartException(ResultCode.SHUTTING_DOWN, "sidecar is shutting down");
        }
        UpstreamView upstream = view.upstream(request.upstreamId())
                .orElseThrow(() -> new WagtailcartException(
                        ResultCode.UPSTREAM_UNKNOWN,
                        "upstream " + request.upstreamId() + " is not in the replicated state"));
        if (!upstream.sidecarId().equals(options.sidecarId())) {
            throw new WagtailcartException(
                    ResultCode.SIDECAR_NOT_ALLOWED,
                    "upstream " + request.upstreamId() + " belongs to sidecar " + upstream.sidecarId());
        }
        if (!upstream.lifecycle().acceptsNewRequests()) {
            throw new WagtailcartException(
                    ResultCode.UPSTREAM_LEAVING,
                    "upstream " + request.upstreamId() + " is " + SettingNames.of(upstream.lifecycle()));
        }
        if (upstream.startedOrderNumber() > 0 || upstream.orderState() == OrderState.ISSUED) {
            throw new WagtailcartException(
                    ResultCode.ENGINE_BUSY_WITH_ORDER, "engine " + request.upstreamId() + " has a pending order");
        }
        return upstream;
    }

    private void schedule(Attempt attempt) {
        try {
            traffic.execute(() -> run(attempt));
        } catch (RejectedExecutionException e) {
            rejectUnsent(
                    attempt,
                    new WagtailcartException(
                            ResultCode.SHUTTING_DOWN, "sidecar was stopped before the request was sent"));
            release(attempt);
        }
    }

    private void run(Attempt attempt) {
        try {
            send(attempt);
        } finally {
            release(attempt);
        }
    }

    private void send(Attempt attempt) {
        long remaining = attempt.deadlineMillis() - clock.nowMillis();
        WagtailcartException aborted = attempt.abortReason();
        if (aborted != null || remaining <= 0) {
            rejectUnsent(attempt, aborted == null ? deadlineExpired() : aborted);
            return;
        }
        UpstreamCall call = null;
        try {
            UpstreamView upstream = currentUpstream(attempt.request());
            call = client.prepare(upstream, attempt.request(), remaining);
            attempt.attach(call);
            call.run(attempt);
            succeed(attempt);
        } catch (RuntimeException e) {
            fail(attempt, call, e);
        }
    }

    /** Returns the current state of the upstream; its address may have changed while the attempt was queued. */
    private UpstreamView currentUpstream(AttemptRequest request) {
        return view.upstream(request.upstreamId())
                .orElseThrow(() -> new WagtailcartException(
                        ResultCode.UPSTREAM_UNKNOWN,
                        "upstream " + request.upstreamId() + " was removed while the request was queued"));
    }

    private void succeed(Attempt attempt) {
        epoch.recordResponse(attempt.request(), attempt.recordedResponse());
        UpstreamState state = role.upstreamState(attempt.request().upstreamId());
        count(ResultCode.OK);
        attempt.finish(state.running() - 1, state.queued());
        inFlight.decrementAndGet();
    }

    private void fail(Attempt attempt, @Nullable UpstreamCall upstreamCall, RuntimeException error) {
        if (upstreamCall == null || !upstreamCall.sent()) {
            rejectUnsent(attempt, errorOf(attempt, error));
            return;
        }
        epoch.recordUnknown(attempt.request());
        end(attempt, withMayHaveRun(errorOf(attempt, error)));
        inFlight.decrementAndGet();
        cancelAtEngine(attempt.request());
    }

    /** Replaces run state NOT_RUN, which is valid only before the first byte was sent, by MAY_HAVE_RUN. */
    private static WagtailcartException withMayHaveRun(WagtailcartException error) {
        return error.runState() == RunState.NOT_RUN
                ? new WagtailcartException(error.code(), RunState.MAY_HAVE_RUN, String.valueOf(error.getMessage()))
                : error;
    }

    private static WagtailcartException errorOf(Attempt attempt, RuntimeException error) {
        WagtailcartException aborted = attempt.abortReason();
        if (aborted != null) {
            return aborted;
        }
        return error instanceof WagtailcartException coded
                ? coded
                : new WagtailcartException(ResultCode.INTERNAL_ERROR, "attempt failed: " + error, error);
    }

    /**
     * Ends an attempt of which no byte was sent. The ledger records this before the entry is told that it did not run.
     */
    private void rejectUnsent(Attempt attempt, WagtailcartException reason) {
        epoch.recordNotSent(attempt.request());
        end(attempt, new WagtailcartException(reason.code(), RunState.NOT_RUN, String.valueOf(reason.getMessage())));
        inFlight.decrementAndGet();
    }

    private void end(Attempt attempt, WagtailcartException error) {
        count(error.code());
        LOG.log(
                Level.DEBUG,
                LogEvent.of(
                        "attempt-failed",
                        "attempt",
                        attempt.request().attemptId(),
                        "upstream",
                        attempt.request().upstreamId(),
                        "code",
                        error.code().number(),
                        "run-state",
                        error.runState(),
                        "reason",
                        error.getMessage()));
        attempt.exchange().fail(error);
    }

    private void release(Attempt attempt) {
        UpstreamState state = role.upstreamState(attempt.request().upstreamId());
        List<Attempt> next = view.upstream(attempt.request().upstreamId())
                .map(upstream -> state.release(attempt, settings.limits(upstream)))
                .orElseGet(() -> state.release(attempt, new ConcurrencyLimits(0, 0, false)));
        next.forEach(this::schedule);
    }

    /**
     * Handles a disconnect or cancel of the entry. An at-most-once attempt continues, so that its outcome is recorded.
     */
    private void onCancelled(Attempt attempt) {
        if (attempt.request().nonIdempotent()) {
            return;
        }
        WagtailcartException cancelled =
                new WagtailcartException(ResultCode.CALLER_GONE, "entry cancelled the request or disconnected");
        boolean queued = revisions.remove(attempt)
                || role.upstreamState(attempt.request().upstreamId()).remove(attempt);
        if (queued) {
            rejectUnsent(attempt, cancelled);
        } else {
            attempt.abort(cancelled);
        }
    }

    private void cancelAtEngine(AttemptRequest request) {
        view.upstream(request.upstreamId())
                .filter(upstream -> upstream.kind() == UpstreamKind.ENGINE)
                .ifPresent(upstream -> engines.cancel(upstream.address(), request.attemptId()));
    }

    private void count(ResultCode code) {
        registry.counter("sidecar.attempt." + SettingNames.of(code)).inc();
    }

    private static WagtailcartException deadlineExpired() {
        return new WagtailcartException(
                ResultCode.DEADLINE_UNREACHABLE, "deadline passed while the request was queued in the sidecar");
    }
}
