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
import org.wagtailcart.entry.admission.Waiting;
import org.wagtailcart.entry.answer.CallerResponse;
import org.wagtailcart.entry.answer.ErrorResponse;
import org.wagtailcart.entry.attempt.AttemptExchange;
import org.wagtailcart.entry.attempt.AttemptListener;
import org.wagtailcart.entry.keyed.AtMostOnceAction;
import org.wagtailcart.entry.keyed.AtMostOnceCall;
import org.wagtailcart.entry.keyed.AtMostOnceEvent;
import org.wagtailcart.entry.request.CallerRequest;
import org.wagtailcart.entry.request.HttpHead;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.once.KeyResult;
import org.wagtailcart.once.RecordedResponse;
import org.wagtailcart.policy.routing.AttemptOutcome;
import org.wagtailcart.policy.routing.RoutingDecision;
import org.wagtailcart.policy.routing.RoutingRequest;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.message.AttemptStatus;

/**
 * Performs the actions of one {@link AtMostOnceCall}. It goes on when the caller disconnects, so that the answer is recorded
 * for a repeat. All state belongs to the executor of the caller's connection.
 */
final class AtMostOnceCallDriver {
    private static final Logger LOG = System.getLogger(AtMostOnceCallDriver.class.getName());
    private static final long MIN_COMMIT_TIMEOUT_MILLIS = 1_000;
    private static final long MAX_COMMIT_TIMEOUT_MILLIS = 5_000;
    private static final long QUERY_TIMEOUT_MILLIS = 2_000;

    /** Time after the deadline for which a sent attempt may still answer before its sidecar is asked. */
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
    private String routedAttempt = "";
    private String waitingAttempt = "";
    private boolean syncWanted;
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
        deadlineTimer = context.after(remainingMillis(), executor, () -> handle(new AtMostOnceEvent.DeadlinePassed(0)));
        perform(call.start());
    }

    private long remainingMillis() {
        return request.deadlineMillis() - context.clock().nowMillis();
    }

    private void handle(AtMostOnceEvent event) {
        if (!call.over()) {
            perform(call.on(event, context.clock().nowMillis()));
        }
    }

    private void later(AtMostOnceEvent event) {
        CallContext.tryExecute(executor, () -> handle(event));
    }

    private void perform(List<AtMostOnceAction> actions) {
        actions.forEach(this::perform);
    }

    private void perform(AtMostOnceAction action) {
        if (action instanceof AtMostOnceAction.ChooseRoute choose) {
            releaseRoute(AttemptOutcome.CANCELLED);
            choose(choose);
        } else if (action instanceof AtMostOnceAction.Submit submit) {
            submit(submit);
        } else if (action instanceof AtMostOnceAction.Send send) {
            send(send);
        } else if (action instanceof AtMostOnceAction.Ask ask) {
            releaseRoute(AttemptOutcome.FAILURE);
            ask(ask);
        } else if (action instanceof AtMostOnceAction.Pause pause) {
            releaseRoute(AttemptOutcome.CANCELLED);
            var unused =
                    context.after(pause.millis(), executor, () -> handle(new AtMostOnceEvent.Resumed(pause.step())));
        } else if (action instanceof AtMostOnceAction.SyncSettings) {
            syncWanted = true;
        } else if (action instanceof AtMostOnceAction.Respond reply) {
            respond(reply);
        } else if (action instanceof AtMostOnceAction.Fail refuse) {
            fail(refuse);
        } else if (action instanceof AtMostOnceAction.Finish) {
            finish();
        }
    }

    private void choose(AtMostOnceAction.ChooseRoute choose) {
        if (choose.reason().usesBudget() && !context.budget().tryRetry()) {
            later(new AtMostOnceEvent.NotRouted(choose.step(), ResultCode.RETRY_BUDGET_EXHAUSTED));
            return;
        }
        if (syncWanted) {
            syncWanted = false;
            context.afterSync(sentRevision, executor, () -> submitRoute(choose));
        } else {
            submitRoute(choose);
        }
    }

    private void submitRoute(AtMostOnceAction.ChooseRoute choose) {
        if (call.over()) {
            return;
        }
        String attemptId = CallContext.newAttemptId();
        waitingAttempt = attemptId;
        RoutingRequest routing = new RoutingRequest(
                request.pool(),
                request.priority(),
                0,
                0,
                List.of(),
                request.deadlineMillis(),
                Set.copyOf(choose.excluded()));
        context.dispatch()
                .submit(new Waiting(
                        attemptId, UpstreamKind.SERVICE, routing, true, executor, receiver(choose.step(), attemptId)));
    }

    private Waiting.Receiver receiver(int step, String attemptId) {
        return new Waiting.Receiver() {
            @Override
            public void onRoute(RoutingDecision route) {
                if (!waitingAttempt.equals(attemptId) || call.over()) {
                    context.dispatch().finished(attemptId, AttemptOutcome.CANCELLED);
                    return;
                }
                waitingAttempt = "";
                routedAttempt = attemptId;
                context.counters().count(Stage.ADMIT, ResultCode.OK);
                handle(routed(step, attemptId, route.upstreamId()));
            }

            @Override
            public void onRejected(ResultCode code) {
                if (waitingAttempt.equals(attemptId)) {
                    waitingAttempt = "";
                    context.counters().count(Stage.ADMIT, code);
                    handle(new AtMostOnceEvent.NotRouted(step, code));
                }
            }
        };
    }

    private AtMostOnceEvent routed(int step, String attemptId, String upstreamId) {
        if (!context.lease().allows(request.kind())) {
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

    private void submit(AtMostOnceAction.Submit submit) {
        long timeoutMillis =
                Math.max(MIN_COMMIT_TIMEOUT_MILLIS, Math.min(MAX_COMMIT_TIMEOUT_MILLIS, remainingMillis()));
        whenDone(
                context.control().submit(submit.command(), KeyResult.class, timeoutMillis),
                result -> new AtMostOnceEvent.Committed(submit.step(), result),
                error -> new AtMostOnceEvent.NotCommitted(submit.step()));
    }

    private void ask(AtMostOnceAction.Ask ask) {
        Optional<UpstreamView> upstream = context.upstream(ask.query().upstreamId());
        if (upstream.isEmpty()) {
            later(new AtMostOnceEvent.NoStatus(ask.step(), ResultCode.UPSTREAM_UNKNOWN));
            return;
        }
        whenDone(
                context.peers()
                        .call(upstream.get().sidecarAddress(), ask.query(), AttemptStatus.class, QUERY_TIMEOUT_MILLIS),
                status -> new AtMostOnceEvent.Status(ask.step(), status),
                error -> new AtMostOnceEvent.NoStatus(ask.step(), error.code()));
    }

    private <T> void whenDone(
            CompletableFuture<T> future,
            Function<T, AtMostOnceEvent> onResult,
            Function<WagtailcartException, AtMostOnceEvent> onError) {
        var unused = future.handle((result, error) -> {
            later(error == null ? onResult.apply(result) : onError.apply(failureOf(error)));
            return true;
        });
    }

    private static WagtailcartException failureOf(Throwable error) {
        Throwable cause = Causes.of(error);
        return cause instanceof WagtailcartException known
                ? known
                : new WagtailcartException(ResultCode.INTERNAL_ERROR, "call failed", cause);
    }

    private void send(AtMostOnceAction.Send send) {
        Optional<UpstreamView> upstream = context.upstream(send.upstreamId());
        if (upstream.isEmpty()) {
            // Nothing was sent, and this step is left for good, so nothing will be.
            later(new AtMostOnceEvent.AttemptFailed(send.step(), ResultCode.UPSTREAM_UNKNOWN, RunState.NOT_RUN));
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
                end -> context.dispatch().loadReport(send.upstreamId(), end.running(), end.queued()));
        lateResponseTimer.cancel(false);
        lateResponseTimer = context.after(
                remainingMillis() + LATE_RESPONSE_GRACE_MILLIS,
                executor,
                () -> handle(new AtMostOnceEvent.AttemptFailed(
                        send.step(), ResultCode.UPSTREAM_TIMEOUT, RunState.MAY_HAVE_RUN)));
    }

    private AttemptListener attemptListener(AtMostOnceAction.Send send) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        List<String> headers = new ArrayList<>();
        int[] status = new int[1];
        return new AttemptListener() {
            @Override
            public void onStarted(int upstreamStatus, List<String> upstreamHeaders) {
                status[0] = upstreamStatus;
                headers.addAll(HttpHead.endToEnd(upstreamHeaders));
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
                boolean kept = body.size() <= MAX_RESPONSE_BYTES;
                handle(new AtMostOnceEvent.ResponseReceived(
                        send.step(),
                        new RecordedResponse(
                                status[0], List.copyOf(headers), kept ? body.toByteArray() : new byte[0], kept)));
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
        if (!routedAttempt.isEmpty()) {
            context.dispatch().finished(routedAttempt, outcome);
            routedAttempt = "";
        }
    }

    private void respond(AtMostOnceAction.Respond reply) {
        context.counters().count(Stage.FINISH, ResultCode.OK);
        context.counters().count(reply.replayed() ? "replayed" : "completed");
        List<String> headers =
                new ArrayList<>(HttpHead.endToEnd(reply.response().headers()));
        if (reply.replayed()) {
            headers.addAll(List.of("Wagtailcart-Replayed", "true"));
        }
        response.send(reply.response().status(), headers, reply.response().body());
    }

    private void fail(AtMostOnceAction.Fail refuse) {
        context.counters().count(Stage.FINISH, refuse.code());
        if (refuse.code() == ResultCode.OUTCOME_UNKNOWN) {
            LOG.log(
                    Level.WARNING,
                    LogEvent.of("key-outcome-unknown", "workspace", request.workspace(), "service", request.pool()));
        }
        response.sendError(
                new ErrorResponse(refuse.code(), refuse.runState(), refuse.repeatSafe(), text(refuse.code())));
    }

    private static String text(ResultCode code) {
        return switch (code) {
            case IDEMPOTENCY_KEY_REUSED -> "this Idempotency-Key belongs to another request";
            case KEY_IN_PROGRESS ->
                "the request with this Idempotency-Key has no known outcome yet; repeat it with the" + " same key";
            case OUTCOME_UNKNOWN ->
                "the request may have run; its outcome cannot be found out and it is never run again";
            case RECORDED_ANSWER_NOT_KEPT -> "the request ran; its answer was too large to be kept";
            case KEY_RESERVATION_FAILED -> "the Idempotency-Key could not be reserved";
            default -> "the request was not sent to the service";
        };
    }

    private void finish() {
        if (!waitingAttempt.isEmpty()) {
            context.dispatch().cancel(waitingAttempt);
            waitingAttempt = "";
        }
        releaseRoute(AttemptOutcome.CANCELLED);
        deadlineTimer.cancel(false);
        lateResponseTimer.cancel(false);
        onEnd.run();
    }
}
