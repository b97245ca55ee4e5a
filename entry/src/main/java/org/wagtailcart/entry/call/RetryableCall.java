package org.wagtailcart.entry.call;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
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
import org.wagtailcart.entry.request.CallerRequest;
import org.wagtailcart.entry.request.CompletionRequest;
import org.wagtailcart.entry.request.RequestKind;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.policy.routing.AttemptOutcome;
import org.wagtailcart.policy.routing.RoutingDecision;
import org.wagtailcart.policy.routing.RoutingRequest;
import org.wagtailcart.sidecar.message.AttemptRequest;

/**
 * Call for one request whose second run does no harm: retried before the first token is delivered, and resumed on
 * another engine after it. All state is confined to the executor of the caller's connection.
 */
public final class RetryableCall {
    private static final Logger LOG = System.getLogger(RetryableCall.class.getName());

    /** Maximum number of attempts of a request that has not delivered anything. */
    private static final int MAX_ATTEMPTS = 3;

    /** Maximum number of times that one stream is resumed. */
    private static final int MAX_RESUMES = 8;

    /** Maximum number of times that one request waits for newer settings. */
    private static final int MAX_SETTINGS_SYNCS = 20;

    private static final long RETRY_DELAY_MILLIS = 50;

    private final CallContext context;
    private final CallerRequest request;
    private final CallerResponse response;
    private final Executor executor;
    private final ResponseForwarder forwarder;
    private final Set<String> excluded = new HashSet<>();
    private Future<?> deadlineTimer;
    private String attemptId = "";
    private String upstreamId = "";
    private @Nullable AttemptExchange exchange;
    private @Nullable KvCacheSource kvCacheSource;
    private boolean routePending;
    private boolean routed;
    private boolean mayHaveRun;
    private boolean finished;
    private int failedAttempts;
    private int resumes;
    private int settingsSyncs;
    private long sentRevision;

    /**
     * Prefill engine that retains the KV cache of the prompt.
     *
     * @param engine address of the engine
     * @param requestId request id under which it retains the cache
     */
    private record KvCacheSource(Address engine, String requestId) {}

    private RetryableCall(CallContext context, CallerRequest request, CallerResponse response, Executor executor) {
        this.context = context;
        this.request = request;
        this.response = response;
        this.executor = executor;
        this.forwarder =
                new ResponseForwarder(response, request.streamRequested(), request.kind() == RequestKind.COMPLETION);
        this.deadlineTimer =
                context.schedule(request.deadlineMillis() - context.clock().nowMillis(), executor, this::onDeadline);
    }

    /**
     * Starts a call for a request.
     *
     * @param executor executor of the caller's connection, on which this method must be called
     */
    public static void start(CallContext context, CallerRequest request, CallerResponse response, Executor executor) {
        RetryableCall call = new RetryableCall(context, request, response, executor);
        response.onDisconnect(call::onCallerDisconnected);
        context.retryBudget().onRequest();
        call.route(true);
    }

    private void route(boolean subjectToAdmission) {
        if (finished) {
            return;
        }
        attemptId = CallContext.newAttemptId();
        routePending = true;
        CompletionRequest completion = request.completion().orElse(null);
        RoutingRequest routing = new RoutingRequest(
                request.pool(),
                request.priority(),
                completion == null ? 0 : completion.estimatedPromptTokens(),
                completion == null ? 0 : completion.maxOutputTokens(),
                completion == null ? List.of() : completion.prefixHashes(),
                request.deadlineMillis(),
                Set.copyOf(excluded));
        context.dispatcher()
                .submit(new PendingRequest(
                        attemptId,
                        request.workspace(),
                        kind(),
                        routing,
                        subjectToAdmission,
                        executor,
                        routeListener()));
    }

    private UpstreamKind kind() {
        return request.kind() == RequestKind.COMPLETION ? UpstreamKind.ENGINE : UpstreamKind.SERVICE;
    }

    private PendingRequest.RouteListener routeListener() {
        String id = attemptId;
        return new PendingRequest.RouteListener() {
            @Override
            public void onRoute(RoutingDecision route) {
                if (finished || !id.equals(attemptId)) {
                    context.dispatcher().onFinished(id, AttemptOutcome.CANCELLED);
                    return;
                }
                routePending = false;
                routed = true;
                context.counters().count(Stage.ADMIT, ResultCode.OK);
                RetryableCall.this.onRoute(route);
            }

            @Override
            public void onRejected(ResultCode code) {
                if (!finished) {
                    routePending = false;
                    context.counters().count(Stage.ADMIT, code);
                    fail(new WagtailcartException(
                            code, "no upstream has capacity for a request to \"" + request.pool() + "\""));
                }
            }
        };
    }

    private void onRoute(RoutingDecision route) {
        if (!response.started() && !context.newWorkPolicy().allows(request.kind())) {
            release(AttemptOutcome.CANCELLED);
            fail(new WagtailcartException(
                    ResultCode.SETTINGS_LEASE_EXPIRED, "settings are not confirmed by the control group"));
            return;
        }
        upstreamId = route.upstreamId();
        Optional<UpstreamView> upstream = context.upstream(upstreamId);
        if (upstream.isEmpty()) {
            context.counters().count(Stage.ROUTE, ResultCode.UPSTREAM_UNKNOWN);
            onFailed(new WagtailcartException(
                    ResultCode.UPSTREAM_UNKNOWN, "upstream " + upstreamId + " is not available"));
            return;
        }
        context.counters().count(Stage.ROUTE, ResultCode.OK);
        Optional<UpstreamView> prefill = route.prefillUpstreamId().flatMap(context::upstream);
        kvCacheSource = null;
        if (prefill.isPresent() && request.completion().isPresent() && forwarder.deliveredTokens() == 0) {
            sendPrefill(prefill.get(), request.completion().get());
        } else {
            sendAttempt(upstream.get());
        }
    }

    private void sendPrefill(UpstreamView engine, CompletionRequest completion) {
        String prefillId = attemptId + "-p";
        AttemptListener listener = new AttemptListener() {
            private boolean rejected;

            @Override
            public void onStarted(int status, List<String> headers) {
                // The decode engine rejects the same request, and the caller receives its response.
                rejected = status >= 400 && status < 500 && status != 429;
                if (status != 200 && !rejected) {
                    throw new WagtailcartException(
                            ResultCode.UPSTREAM_FAILED, "prefill engine returned status " + status);
                }
            }

            @Override
            public void onBytes(byte[] bytes) {
                // The response to a prefill without output contains nothing for the caller.
            }

            @Override
            public void onComplete() {
                mayHaveRun = true;
                kvCacheSource = rejected ? null : new KvCacheSource(engine.address(), prefillId);
                sendAfterPrefill();
            }

            @Override
            public void onFailed(WagtailcartException error) {
                excluded.add(engine.upstreamId());
                RetryableCall.this.onFailed(error);
            }
        };
        send(engine, prefillId, completion.bodyForPrefill(request.priority()), listener);
    }

    /** Sends the request to its decode engine, unless that has stopped accepting requests during the prefill. */
    private void sendAfterPrefill() {
        context.upstream(upstreamId)
                .filter(UpstreamView::acceptsNewRequests)
                .ifPresentOrElse(
                        this::sendAttempt,
                        () -> onFailed(new WagtailcartException(
                                ResultCode.UPSTREAM_UNKNOWN, "upstream " + upstreamId + " is not available")));
    }

    private void sendAttempt(UpstreamView upstream) {
        forwarder.startAttempt(attemptId);
        send(upstream, attemptId, body(), new AttemptListener() {
            @Override
            public void onStarted(int status, List<String> headers) {
                forwarder.onStarted(status, headers);
            }

            @Override
            public void onBytes(byte[] bytes) {
                long previousTokens = forwarder.deliveredTokens();
                try {
                    forwarder.onBytes(bytes);
                } finally {
                    reportTokens(previousTokens);
                }
            }

            @Override
            public void onComplete() {
                complete();
            }

            @Override
            public void onFailed(WagtailcartException error) {
                excluded.add(upstreamId);
                RetryableCall.this.onFailed(error);
            }
        });
    }

    private byte[] body() {
        CompletionRequest completion = request.completion().orElse(null);
        if (completion == null) {
            return request.body();
        }
        KvCacheSource cacheSource = kvCacheSource;
        return cacheSource == null
                ? completion.bodyForEngine(request.priority(), forwarder.deliveredTokens())
                : completion.bodyForDecode(
                        request.priority(), forwarder.deliveredTokens(), cacheSource.engine(), cacheSource.requestId());
    }

    private void send(UpstreamView upstream, String id, byte[] body, AttemptListener listener) {
        long remainingMillis = request.deadlineMillis() - context.clock().nowMillis();
        if (remainingMillis <= 0) {
            onDeadline();
            return;
        }
        sentRevision = context.view().settings().revision();
        AttemptRequest message = new AttemptRequest(
                id,
                0,
                0,
                upstream.upstreamId(),
                sentRevision,
                remainingMillis,
                request.priority(),
                request.method(),
                request.path(),
                request.headers(),
                body);
        exchange = AttemptExchange.open(
                context.peers(), upstream.sidecarAddress(), message, listener, executor, end -> context.dispatcher()
                        .onLoadReport(upstream.upstreamId(), end.running(), end.queued()));
    }

    private void reportTokens(long previousTokens) {
        long tokens = forwarder.deliveredTokens();
        if (previousTokens == 0 && tokens > 0) {
            context.dispatcher().onFirstToken(attemptId);
        }
        if (tokens > previousTokens) {
            context.dispatcher().onTokens(attemptId, (int) (tokens - previousTokens));
        }
    }

    private void complete() {
        try {
            forwarder.onComplete();
        } catch (WagtailcartException e) {
            excluded.add(upstreamId);
            onFailed(e);
            return;
        }
        context.counters().count(Stage.ATTEMPT, ResultCode.OK);
        context.counters().count(Stage.STREAM, ResultCode.OK);
        release(AttemptOutcome.SUCCESS);
        finish(ResultCode.OK);
    }

    private void onFailed(WagtailcartException error) {
        if (finished) {
            return;
        }
        context.counters().count(Stage.ATTEMPT, error.code());
        LOG.log(
                Level.DEBUG,
                LogEvent.of(
                        "attempt-failed",
                        "attempt",
                        attemptId,
                        "upstream",
                        upstreamId,
                        "code",
                        error.code().number(),
                        "run-state",
                        error.runState(),
                        "tokens",
                        forwarder.deliveredTokens()));
        mayHaveRun |= error.runState() != RunState.NOT_RUN;
        release(CallContext.outcomeOf(error));
        if (!forwarder.resumable()) {
            fail(error);
        } else if (error.code() == ResultCode.SETTINGS_REVISION_STALE && settingsSyncs++ < MAX_SETTINGS_SYNCS) {
            excluded.remove(upstreamId);
            context.runAfterSettingsSync(sentRevision, executor, () -> route(false));
        } else if (response.started()) {
            resume(error);
        } else {
            retry(error);
        }
    }

    private void resume(WagtailcartException error) {
        if (resumes++ < MAX_RESUMES) {
            context.counters().count("resumes");
            routeAfter(resumes == 1 ? 0 : RETRY_DELAY_MILLIS);
        } else {
            fail(error);
        }
    }

    private void retry(WagtailcartException error) {
        if (++failedAttempts >= MAX_ATTEMPTS) {
            fail(error);
        } else if (usesRetryBudget(error) && !context.retryBudget().tryRetry()) {
            context.counters().count("retries-denied");
            fail(error);
        } else {
            context.counters().count("retries");
            routeAfter(failedAttempts == 1 ? 0 : RETRY_DELAY_MILLIS);
        }
    }

    /**
     * Returns whether a retry counts against the retry budget. The budget protects upstreams from repeated work, and a
     * refused connection caused none.
     */
    private static boolean usesRetryBudget(WagtailcartException error) {
        return error.code() != ResultCode.CONNECT_FAILED;
    }

    private void routeAfter(long delayMillis) {
        if (delayMillis == 0) {
            route(false);
        } else {
            var unused = context.schedule(delayMillis, executor, () -> route(false));
        }
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        cancelAttempt();
        ResultCode code = routed ? ResultCode.UPSTREAM_TIMEOUT : ResultCode.DEADLINE_UNREACHABLE;
        mayHaveRun |= routed;
        release(AttemptOutcome.FAILURE);
        fail(new WagtailcartException(code, "deadline passed before the response was complete"));
    }

    private void onCallerDisconnected() {
        if (!finished) {
            cancelAttempt();
            release(AttemptOutcome.CANCELLED);
            finish(ResultCode.CALLER_GONE);
        }
    }

    private void cancelAttempt() {
        if (routePending) {
            context.dispatcher().cancel(attemptId);
        }
        AttemptExchange open = exchange;
        if (open != null) {
            open.cancel();
        }
    }

    private void release(AttemptOutcome outcome) {
        if (routed) {
            routed = false;
            context.dispatcher().onFinished(attemptId, outcome);
        }
    }

    private void fail(WagtailcartException error) {
        if (response.started()) {
            context.counters().count(Stage.STREAM, error.code());
        }
        finish(error.code());
        RunState runState = mayHaveRun ? RunState.MAY_HAVE_RUN : error.runState();
        response.sendError(ErrorResponse.of(error).withRunState(runState).withRepeatSafe());
    }

    private void finish(ResultCode code) {
        finished = true;
        deadlineTimer.cancel(false);
        context.counters().count(Stage.FINISH, code);
    }
}
