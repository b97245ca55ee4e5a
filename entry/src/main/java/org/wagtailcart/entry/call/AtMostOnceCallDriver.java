package org.wagtailcart.entry.call;

import java.io.ByteArrayOutputStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.function.Function;
import org.wagtailcart.common.Causes;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.entry.admission.PendingRequest;
import org.wagtailcart.entry.answer.CallerResponse;
import org.wagtailcart.entry.answer.ErrorResponse;
import org.wagtailcart.entry.attempt.AttemptExchange;
import org.wagtailcart.entry.attempt.AttemptListener;
import org.wagtailcart.entry.keyed.AtMostOnceAction;
import org.wagtailcart.entry.keyed.AtMostOnceCall;
import org.wagtailcart.entry.keyed.AtMostOnceEvent;
import org.wagtailcart.entry.request.CallerRequest;
import org.wagtailcart.entry.request.HttpRequestHead;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.once.KeyResult;
import org.wagtailcart.once.RecordedResponse;
import org.wagtailcart.policy.routing.AttemptOutcome;
import org.wagtailcart.policy.routing.RoutingDecision;
import org.wagtailcart.policy.routing.RoutingRequest;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.message.AttemptStatus;

/**
 * Driver of one {@link AtMostOnceCall}: performs its actions and reports their results as events. It continues after
 * the caller disconnects, so that the response is recorded for a repeat of the request. All state is confined to the
 * executor of the caller's connection.
 */
final class AtMostOnceCallDriver {
    private static final Logger LOG = System.getLogger(AtMostOnceCallDriver.class.getName());
    private static final long MIN_COMMIT_TIMEOUT_MILLIS = 1_000;
    private static final long MAX_COMMIT_TIMEOUT_MILLIS = 5_000;
    private static final long QUERY_TIMEOUT_MILLIS = 2_000;

    /** Time after the deadline for which the response to a sent attempt is awaited before its sidecar is queried. */
    private static final long LATE_RESPONSE_GRACE_MILLIS = 5_000;

    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    private final CallContext context;
    private final CallerRequest request;
    private final CallerResponse response;
    private final Executor executor;
    private final AtMostOnceCall call;
    private final Runnable onEnd;
    private Future<?> deadlineTimer = CompletableFuture.completedFuture(null);
    private Future<?> lateResponseTimer = CompletableFuture.completedFuture(null);
    private String routedAttemptId = "";
    private String pendingAttemptId = "";
    private boolean settingsSyncRequired;
    private long sentRevision;

    AtMostOnceCallDriver(
            CallContext context,
            CallerRequest request,
            CallerResponse response,
            Executor executor,
            AtMostOnceCall call,
            Runnable onEnd) {
        this.context = context;
        this.request = request;
        this.response = response;
        this.executor = executor;
        this.call = call;
        this.onEnd = onEnd;
    }

    void start() {
        deadlineTimer =
                context.schedule(remainingMillis(), executor, () -> handle(new AtMostOnceEvent.DeadlinePassed(0)));
        perform(call.start());
    }

    private long remainingMillis() {
        return request.deadlineMillis() - context.clock().nowMillis();
    }

    private void handle(AtMostOnceEvent event) {
        if (!call.finished()) {
            perform(call.onEvent(event, context.clock().nowMillis()));
        }
    }

    private void enqueueEvent(AtMostOnceEvent event) {
        CallContext.tryExecute(executor, () -> handle(event));
    }

    private void perform(List<AtMostOnceAction> actions) {
        actions.forEach(this::perform);
    }

    private void perform(AtMostOnceAction action) {
        if (action instanceof AtMostOnceAction.ChooseRoute choose) {
            releaseRoute(AttemptOutcome.CANCELLED);
            chooseRoute(choose);
        } else if (action instanceof AtMostOnceAction.SubmitCommand submit) {
            submit(submit);
        } else if (action instanceof AtMostOnceAction.SendAttempt send) {
            send(send);
        } else if (action instanceof AtMostOnceAction.QueryAttempt query) {
            releaseRoute(AttemptOutcome.FAILURE);
            queryAttempt(query);
        } else if (action instanceof AtMostOnceAction.Delay delay) {
            releaseRoute(AttemptOutcome.CANCELLED);
            var unused = context.schedule(
                    delay.delayMillis(), executor, () -> handle(new AtMostOnceEvent.DelayElapsed(delay.step())));
        } else if (action instanceof AtMostOnceAction.SyncSettings) {
            settingsSyncRequired = true;
        } else if (action instanceof AtMostOnceAction.Respond respond) {
            respond(respond);
        } else if (action instanceof AtMostOnceAction.Fail failure) {
            fail(failure);
        } else if (action instanceof AtMostOnceAction.Finish) {
            finish();
        }
    }

    private void chooseRoute(AtMostOnceAction.ChooseRoute choose) {
        if (choose.reason().usesRetryBudget() && !context.retryBudget().tryRetry()) {
            enqueueEvent(new AtMostOnceEvent.NotRouted(choose.step(), ResultCode.RETRY_BUDGET_EXHAUSTED));
            return;
        }
        if (settingsSyncRequired) {
            settingsSyncRequired = false;
            context.runAfterSettingsSync(sentRevision, executor, () -> requestRoute(choose));
        } else {
            requestRoute(choose);
        }
    }

    private void requestRoute(AtMostOnceAction.ChooseRoute choose) {
        if (call.finished()) {
            return;
        }
        String attemptId = CallContext.newAttemptId();
        pendingAttemptId = attemptId;
        RoutingRequest routing = new RoutingRequest(
                request.pool(),
                request.priority(),
                0,
                0,
                List.of(),
                request.deadlineMillis(),
                Set.copyOf(choose.excluded()));
        context.dispatcher()
                .submit(new PendingRequest(
                        attemptId,
                        request.workspace(),
                        UpstreamKind.SERVICE,
                        routing,
                        true,
                        executor,
                        routeListener(choose.step(), attemptId)));
    }

    private PendingRequest.RouteListener routeListener(int step, String attemptId) {
        return new PendingRequest.RouteListener() {
            @Override
            public void onRoute(RoutingDecision route) {
                if (!pendingAttemptId.equals(attemptId) || call.finished()) {
                    context.dispatcher().onFinished(attemptId, AttemptOutcome.CANCELLED);
                    return;
                }
                pendingAttemptId = "";
                routedAttemptId = attemptId;
                context.counters().count(Stage.ADMIT, ResultCode.OK);
                handle(routeEvent(step, attemptId, route.upstreamId()));
            }

            @Override
            public void onRejected(ResultCode code) {
                if (pendingAttemptId.equals(attemptId)) {
                    pendingAttemptId = "";
                    context.counters().count(Stage.ADMIT, code);
                    handle(new AtMostOnceEvent.NotRouted(step, code));
                }
            }
        };
    }

    private AtMostOnceEvent routeEvent(int step, String attemptId, String upstreamId) {
        if (!context.newWorkPolicy().allows(request.kind())) {
            releaseRoute(AttemptOutcome.CANCELLED);
            return new AtMostOnceEvent.NotRouted(step, ResultCode.SETTINGS_LEASE_EXPIRED);
        }
        Optional<UpstreamView> upstream = context.upstream(upstreamId);
        ResultCode outcome = upstream.isPresent() ? ResultCode.OK : ResultCode.UPSTREAM_UNKNOWN;
        context.counters().count(Stage.ROUTE, outcome);
        if (upstream.isEmpty()) {
            releaseRoute(AttemptOutcome.CANCELLED);
            return new AtMostOnceEvent.NotRouted(step, outcome);
        }
        return new AtMostOnceEvent.Routed(
                step, attemptId, upstreamId, upstream.get().epoch());
    }

    private void submit(AtMostOnceAction.SubmitCommand submit) {
        long timeoutMillis =
                Math.max(MIN_COMMIT_TIMEOUT_MILLIS, Math.min(MAX_COMMIT_TIMEOUT_MILLIS, remainingMillis()));
        whenDone(
                context.control().submit(submit.command(), KeyResult.class, timeoutMillis),
                result -> new AtMostOnceEvent.Committed(submit.step(), result),
                error -> new AtMostOnceEvent.NotCommitted(submit.step()));
    }

    private void queryAttempt(AtMostOnceAction.QueryAttempt query) {
        Optional<UpstreamView> upstream = context.upstream(query.query().upstreamId());
        if (upstream.isEmpty()) {
            enqueueEvent(new AtMostOnceEvent.AttemptStatusUnavailable(query.step(), ResultCode.UPSTREAM_UNKNOWN));
            return;
        }
        whenDone(
                context.peers()
                        .call(
                                upstream.get().sidecarAddress(),
                                query.query(),
                                AttemptStatus.class,
                                QUERY_TIMEOUT_MILLIS),
                status -> new AtMostOnceEvent.AttemptStatusReceived(query.step(), status),
                error -> new AtMostOnceEvent.AttemptStatusUnavailable(query.step(), error.code()));
    }

    private <T> void whenDone(
            CompletableFuture<T> future,
            Function<T, AtMostOnceEvent> onResult,
            Function<WagtailcartException, AtMostOnceEvent> onError) {
        var unused = future.handle((result, error) -> {
            enqueueEvent(error == null ? onResult.apply(result) : onError.apply(failureOf(error)));
            return true;
        });
    }

    private static WagtailcartException failureOf(Throwable error) {
        Throwable cause = Causes.unwrap(error);
        return cause instanceof WagtailcartException failure
                ? failure
                : new WagtailcartException(ResultCode.INTERNAL_ERROR, "remote call failed", cause);
    }

    private void send(AtMostOnceAction.SendAttempt send) {
        Optional<UpstreamView> upstream = context.upstream(send.upstreamId());
        if (upstream.isEmpty()) {
            // Nothing was sent, and this step is not repeated, so the attempt cannot run later.
            enqueueEvent(new AtMostOnceEvent.AttemptFailed(send.step(), ResultCode.UPSTREAM_UNKNOWN, RunState.NOT_RUN));
            return;
        }
        sentRevision = context.view().settings().revision();
        AttemptRequest message = new AttemptRequest(
                send.attemptId(),
                send.attemptNumber(),
                send.epoch(),
                send.upstreamId(),
                sentRevision,
                Math.max(1, remainingMillis()),
                request.priority(),
                request.method(),
                request.path(),
                request.headers(),
                request.body());
        AttemptExchange.open(
                context.peers(),
                upstream.get().sidecarAddress(),
                message,
                attemptListener(send),
                executor,
                end -> context.dispatcher().onLoadReport(send.upstreamId(), end.running(), end.queued()));
        lateResponseTimer.cancel(false);
        lateResponseTimer = context.schedule(
                remainingMillis() + LATE_RESPONSE_GRACE_MILLIS,
                executor,
                () -> handle(new AtMostOnceEvent.AttemptFailed(
                        send.step(), ResultCode.UPSTREAM_TIMEOUT, RunState.MAY_HAVE_RUN)));
    }

    private AttemptListener attemptListener(AtMostOnceAction.SendAttempt send) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        List<String> headers = new ArrayList<>();
        int[] status = new int[1];
        return new AttemptListener() {
            @Override
            public void onStarted(int upstreamStatus, List<String> upstreamHeaders) {
                status[0] = upstreamStatus;
                headers.addAll(HttpRequestHead.endToEndHeaders(upstreamHeaders));
            }

            @Override
            public void onBytes(byte[] bytes) {
                if (body.size() <= MAX_RESPONSE_BYTES) {
                    body.writeBytes(bytes);
                }
            }

            @Override
            public void onComplete() {
                context.counters().count(Stage.ATTEMPT, ResultCode.OK);
                releaseRoute(AttemptOutcome.SUCCESS);
                boolean bodyKept = body.size() <= MAX_RESPONSE_BYTES;
                handle(new AtMostOnceEvent.ResponseReceived(
                        send.step(),
                        new RecordedResponse(
                                status[0],
                                List.copyOf(headers),
                                bodyKept ? body.toByteArray() : new byte[0],
                                bodyKept)));
            }

            @Override
            public void onFailed(WagtailcartException error) {
                context.counters().count(Stage.ATTEMPT, error.code());
                releaseRoute(CallContext.outcomeOf(error));
                handle(new AtMostOnceEvent.AttemptFailed(send.step(), error.code(), error.runState()));
            }
        };
    }

    private void releaseRoute(AttemptOutcome outcome) {
        if (!routedAttemptId.isEmpty()) {
            context.dispatcher().onFinished(routedAttemptId, outcome);
            routedAttemptId = "";
        }
    }

    private void respond(AtMostOnceAction.Respond respond) {
        context.counters().count(Stage.FINISH, ResultCode.OK);
        context.counters().count(respond.replayed() ? "replayed" : "completed");
        List<String> headers = new ArrayList<>(
                HttpRequestHead.endToEndHeaders(respond.response().headers()));
        if (respond.replayed()) {
            headers.addAll(List.of("Wagtailcart-Replayed", "true"));
        }
        response.send(respond.response().status(), headers, respond.response().body());
    }

    private void fail(AtMostOnceAction.Fail failure) {
        context.counters().count(Stage.FINISH, failure.code());
        if (failure.code() == ResultCode.OUTCOME_UNKNOWN) {
            LOG.log(
                    Level.WARNING,
                    LogEvent.of("key-outcome-unknown", "workspace", request.workspace(), "service", request.pool()));
        }
        response.sendError(new ErrorResponse(
                failure.code(), failure.runState(), failure.repeatSafe(), errorMessage(failure.code())));
    }

    private static String errorMessage(ResultCode code) {
        return switch (code) {
            case IDEMPOTENCY_KEY_REUSED -> "this Idempotency-Key belongs to another request";
            case KEY_IN_PROGRESS ->
                "the outcome of the request with this Idempotency-Key is not known yet; repeat it with the"
                        + " same key";
            case OUTCOME_UNKNOWN ->
                "the request may have run; its outcome cannot be determined and it is never run again";
            case RECORDED_ANSWER_NOT_KEPT -> "the request ran; its response was too large to be recorded";
            case KEY_RESERVATION_FAILED -> "the Idempotency-Key could not be reserved";
            default -> "the request was not sent to the service";
        };
    }

    private void finish() {
        if (!pendingAttemptId.isEmpty()) {
            context.dispatcher().cancel(pendingAttemptId);
            pendingAttemptId = "";
        }
        releaseRoute(AttemptOutcome.CANCELLED);
        deadlineTimer.cancel(false);
        lateResponseTimer.cancel(false);
        onEnd.run();
    }
}
