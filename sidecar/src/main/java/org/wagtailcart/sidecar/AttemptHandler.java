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
 * Takes attempts from their arrival to their end. An attempt is claimed in the ledger before any other check, so that
 * every later refusal can be recorded as not sent before it is stated.
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

    /** Returns the number of attempts that wait or run. */
    int inFlight() {
        return inFlight.get();
    }

    /** Takes an attempt. */
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

    /** Goes on with attempts that waited for settings, and ends those that waited too long. */
    void tick() {
        revisions.takeReady().forEach(this::recheckRevision);
    }

    /** Applies the limits of an upstream to its queue. */
    void applyLimits(UpstreamState slot, UpstreamView upstream) {
        slot.expire(clock.nowMillis()).forEach(attempt -> rejectUnsent(attempt, deadlineExpired()));
        slot.applyLimits(settings.limits(upstream)).forEach(this::schedule);
    }

    /**
     * Refuses the attempts that wait for an engine and ends its idempotent streams, so that entries resume them elsewhere.
     *
     * @param code why
     */
    void abortForResume(UpstreamState slot, ResultCode code) {
        slot.removeQueued()
                .forEach(attempt ->
                        rejectUnsent(attempt, new WagtailcartException(code, "engine is needed for a change")));
        slot.resumableAttempts()
                .forEach(attempt -> attempt.abort(new WagtailcartException(
                        code, RunState.MAY_HAVE_RUN, "drain limit has passed; resume the stream elsewhere")));
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
            UpstreamState slot = role.upstreamState(upstream.upstreamId());
            PriorityConcurrencyLimiter.OfferResult<Attempt> offer = slot.offer(attempt, settings.limits(upstream));
            offer.rejected()
                    .forEach(refused -> rejectUnsent(
                            refused, new WagtailcartException(ResultCode.QUEUE_FULL, "queue of the upstream is full")));
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
                        ResultCode.UPSTREAM_UNKNOWN, "upstream " + request.upstreamId() + " is not known"));
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
                    ResultCode.ENGINE_BUSY_WITH_ORDER, "engine " + request.upstreamId() + " has an order");
        }
        return upstream;
    }

    private void schedule(Attempt attempt) {
        try {
            traffic.execute(() -> run(attempt));
        } catch (RejectedExecutionException e) {
            rejectUnsent(attempt, new WagtailcartException(ResultCode.SHUTTING_DOWN, "sidecar has stopped"));
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
        WagtailcartException cut = attempt.abortReason();
        if (cut != null || remaining <= 0) {
            rejectUnsent(attempt, cut == null ? deadlineExpired() : cut);
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

    /** Returns the upstream as known now; its address may have changed while the attempt waited. */
    private UpstreamView currentUpstream(AttemptRequest request) {
        return view.upstream(request.upstreamId())
                .orElseThrow(() -> new WagtailcartException(
                        ResultCode.UPSTREAM_UNKNOWN, "upstream " + request.upstreamId() + " is not known any more"));
    }

    private void succeed(Attempt attempt) {
        epoch.recordResponse(attempt.request(), attempt.recordedResponse());
        UpstreamState slot = role.upstreamState(attempt.request().upstreamId());
        count(ResultCode.OK);
        attempt.finish(slot.running() - 1, slot.queued());
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

    /** Takes back a claim of "not run" that only holds before the first byte was sent. */
    private static WagtailcartException withMayHaveRun(WagtailcartException error) {
        return error.runState() == RunState.NOT_RUN
                ? new WagtailcartException(error.code(), RunState.MAY_HAVE_RUN, String.valueOf(error.getMessage()))
                : error;
    }

    private static WagtailcartException errorOf(Attempt attempt, RuntimeException error) {
        WagtailcartException cut = attempt.abortReason();
        if (cut != null) {
            return cut;
        }
        return error instanceof WagtailcartException known
                ? known
                : new WagtailcartException(ResultCode.INTERNAL_ERROR, "attempt failed: " + error, error);
    }

    /** Ends an attempt of which no byte was sent: first records that, then states it. */
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
        UpstreamState slot = role.upstreamState(attempt.request().upstreamId());
        List<Attempt> next = view.upstream(attempt.request().upstreamId())
                .map(upstream -> slot.release(attempt, settings.limits(upstream)))
                .orElseGet(() -> slot.release(attempt, new ConcurrencyLimits(0, 0, false)));
        next.forEach(this::schedule);
    }

    /** The entry is gone or gave up. An attempt that must run at most once goes on, so that its outcome becomes known. */
    private void onCancelled(Attempt attempt) {
        if (attempt.request().nonIdempotent()) {
            return;
        }
        WagtailcartException gone = new WagtailcartException(ResultCode.CALLER_GONE, "entry gave the request up");
        boolean waited = revisions.remove(attempt)
                || role.upstreamState(attempt.request().upstreamId()).remove(attempt);
        if (waited) {
            rejectUnsent(attempt, gone);
        } else {
            attempt.abort(gone);
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
        return new WagtailcartException(ResultCode.DEADLINE_UNREACHABLE, "deadline passed while the request waited");
    }
}
