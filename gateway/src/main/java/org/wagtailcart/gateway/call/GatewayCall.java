package org.wagtailcart.gateway.call;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.HopByHopHeaders;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.gateway.list.InFlightRequest;
import org.wagtailcart.gateway.list.Upstream;
import org.wagtailcart.gateway.list.UpstreamOutcome;
import org.wagtailcart.gateway.protocol.ResponseMetadata;
import org.wagtailcart.gateway.protocol.UpstreamRequestOptions;
import org.wagtailcart.gateway.send.ConnectionUse;
import org.wagtailcart.gateway.send.UnexpectedResponse;
import org.wagtailcart.gateway.send.UpstreamRequest;
import org.wagtailcart.gateway.send.UpstreamResponse;
import org.wagtailcart.gateway.send.UpstreamTimeouts;
import org.wagtailcart.policy.share.RetryAfter;

/**
 * Base class of the state machine that handles one request. A request ends exactly once: with a response, an error, the
 * disconnect of the caller or its deadline, whichever comes first. After that nothing more is sent to an upstream.
 */
abstract class GatewayCall implements Runnable {
    private static final Logger LOG = System.getLogger(GatewayCall.class.getName());
    /** Time before the deadline at which an incomplete response is abandoned, so that the error arrives in time. */
    private static final long DEADLINE_MARGIN_MILLIS = 20;

    private final GatewayContext context;
    private final InboundRequest request;
    private final CallerResponseWriter caller;
    private final CallShare share;

    // Guarded by this.
    private boolean ended;
    private boolean mayHaveRun;
    private boolean responseStarted;
    private @Nullable UpstreamRequest currentRequest;
    private int attempts;
    private long firstByteMillis = -1;
    private @Nullable Future<?> deadline;
    /** Computed on first use, since it hashes the body of a request without a prompt. */
    private @Nullable List<String> suspectIds;

    GatewayCall(GatewayContext context, InboundRequest request, CallerResponseWriter caller) {
        this.context = context;
        this.request = request;
        this.caller = caller;
        this.share = new CallShare(context, request);
    }

    final GatewayContext context() {
        return context;
    }

    final InboundRequest request() {
        return request;
    }

    /** Returns the service that serves the request. */
    String service() {
        return request.service();
    }

    final CallShare share() {
        return share;
    }

    /** Registers the disconnect and deadline handlers and then serves the request. */
    @Override
    public final void run() {
        if (caller.isDisconnected()) {
            onCallerDisconnect();
            return;
        }
        caller.onDisconnect(this::onCallerDisconnect);
        context.openCalls().add(this);
        try {
            scheduleDeadline();
            if (!endIfQuotaIsUsedUp()) {
                serve();
            }
        } catch (WagtailcartException e) {
            fail(e.code(), String.valueOf(e.getMessage()));
        } catch (RuntimeException e) {
            LOG.log(
                    Level.ERROR,
                    "unexpected error in request " + request.metadata().requestId(),
                    e);
            fail(ResultCode.INTERNAL_ERROR, "gateway failed: " + e);
        } finally {
            context.openCalls().remove(this);
        }
    }

    /** Schedules the end of the call at its deadline, in place of an earlier schedule. */
    final synchronized void scheduleDeadline() {
        if (ended) {
            return;
        }
        if (deadline != null) {
            deadline.cancel(false);
        }
        long timeoutMillis = remainingMillis() - DEADLINE_MARGIN_MILLIS;
        deadline = context.timer().schedule(this::onDeadline, Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS);
    }

    /** Sends the request to upstreams and relays the response. */
    abstract void serve();

    final long nowMillis() {
        return context.clock().nowMillis();
    }

    final long remainingMillis() {
        return Math.min(request.deadlineMillis(), context.openCalls().endByMillis()) - nowMillis();
    }

    final synchronized boolean isEnded() {
        return ended;
    }

    final synchronized boolean isResponseStarted() {
        return responseStarted;
    }

    /** Returns the use of the connection of the latest attempt. */
    private synchronized ConnectionUse connectionUse() {
        return currentRequest == null ? ConnectionUse.none() : currentRequest.connectionUse();
    }

    private synchronized int attempts() {
        return attempts;
    }

    /**
     * Prepares an attempt at an upstream and records whether it may run the request.
     *
     * @param runs whether the upstream runs the request, rather than only the prefill of its prompt
     * @throws WagtailcartException with {@link ResultCode#CALLER_GONE} if the request has ended
     */
    final UpstreamRequest prepare(
            Upstream upstream, UpstreamRequestOptions options, UpstreamTimeouts timeouts, boolean runs) {
        List<String> headers = context.protocol().upstreamHeaders(request.headers(), options);
        UpstreamRequest upstreamRequest = context.client()
                .prepare(
                        request.metadata().requestId(),
                        (status, received, connection) -> checkHead(upstream, status, received, connection),
                        upstream.address(),
                        request.method(),
                        request.target(),
                        headers,
                        request.body(),
                        timeouts);
        synchronized (this) {
            if (ended) {
                throw new WagtailcartException(ResultCode.CALLER_GONE, RunState.NOT_RUN, "request has ended");
            }
            currentRequest = upstreamRequest;
            mayHaveRun |= runs;
            attempts++;
            return upstreamRequest;
        }
    }

    /** Returns the timeouts of an attempt that may run the request. */
    final UpstreamTimeouts timeouts(long headersMillis, long readMillis) {
        return request.route().retryable()
                ? UpstreamTimeouts.repeatable(headersMillis, readMillis)
                : UpstreamTimeouts.singleRun(headersMillis, readMillis);
    }

    /** Records that the latest attempt provably did not run the request. */
    final synchronized void markNotRun(boolean ranBefore) {
        mayHaveRun = ranBefore;
    }

    final synchronized boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Parses the head of a response. */
    final ResponseMetadata parseHead(UpstreamResponse response) {
        return context.protocol().parseResponse(response.status(), response.headers());
    }

    /**
     * Returns the time after which a caller should retry a request that no upstream can take now: when the first one
     * accepts requests again, if that is known.
     */
    private long retryAfterMillis(long defaultMillis) {
        return context.registry().refusedForMillis(service()).orElse(defaultMillis);
    }

    /**
     * Records what the upstream of a response says about itself, and checks that the response belongs to this request.
     * Upstreams echo the request id; only a refusal on a connection that has carried no other request may omit it.
     */
    private void checkHead(Upstream upstream, int status, List<String> headers, ConnectionUse connection) {
        String requestId = request.metadata().requestId();
        ResponseMetadata metadata = context.protocol().parseResponse(status, headers);
        if (!metadata.wrongInstance()) {
            context.registry().recordAnnouncement(upstream, metadata.announcement(), requestId);
        }
        boolean idMatches = metadata.requestId().equals(requestId);
        boolean refusalWithoutId = metadata.requestId().isEmpty() && metadata.notRun() && !connection.reused();
        if (!idMatches && !refusalWithoutId) {
            String reason = "response with status " + status + " belongs to request \"" + metadata.requestId() + "\"";
            context.unexpectedResponses()
                    .record(UnexpectedResponse.OTHER_REQUEST, requestId, upstream.address(), connection, reason);
            throw new WagtailcartException(ResultCode.ANSWER_MISMATCH, RunState.MAY_HAVE_RUN, reason);
        }
    }

    /** Returns the outcome that an unsuccessful response has for the health of its upstream. */
    static UpstreamOutcome outcomeOf(ResponseMetadata metadata) {
        if (!metadata.hasServerStamp()) {
            return UpstreamOutcome.NO_RESPONSE;
        }
        return metadata.status() < 500 ? UpstreamOutcome.SUCCESS : UpstreamOutcome.ERROR_RESPONSE;
    }

    /**
     * Returns the time limit sent to the upstream, which stops the request when it passes. It ignores the timeout of
     * the route: the caller's own deadline gives the upstream time to finish work that it has started.
     */
    final long callerRemainingMillis() {
        return Math.max(1, request.callerDeadlineMillis() - nowMillis());
    }

    /** Ends the call if upstreams crash under its request or a segment of its prompt; returns whether they do. */
    final boolean endIfQuarantined() {
        OptionalLong refusedForMillis = context.quarantine().refusedForMillis(suspectIds());
        refusedForMillis.ifPresent(millis -> giveUp(
                ResultCode.SEGMENT_QUARANTINED,
                "upstreams crash when they answer this request or a segment of its prompt",
                millis));
        return refusedForMillis.isPresent();
    }

    /** Records that the request ran to its end, which speaks against its segments as the cause of crashes. */
    final void recordCompletion() {
        context.quarantine().recordCompletion(suspectIds());
    }

    private synchronized List<String> suspectIds() {
        List<String> ids = suspectIds;
        if (ids == null) {
            ids = request.suspectIds();
            suspectIds = ids;
        }
        return ids;
    }

    /** Reports that the connection of an attempt broke off, which may mean that its upstream has crashed. */
    final void reportConnectionLost(InFlightRequest inFlight) {
        context.crashDetector().onConnectionLost(inFlight.upstream(), suspectIds(), inFlight.firstOutputAtMillis());
    }

    /** Takes a retry from the budget shared by all gateways; returns false if it is exhausted. */
    final boolean tryAcquireRetry() {
        return context.retryBudgets()
                .tryAcquire(service(), context.routeWatcher().gatewayCount(), nowMillis());
    }

    /** Logs an attempt at the selected upstream. */
    final void logSent(String step, Upstream upstream, double estimateMillis, long queuedTokens, int prefillTokens) {
        LogEventKind.REQUEST_SENT.log(
                LOG,
                Level.INFO,
                request.metadata().requestId(),
                request.route().name(),
                request.workspace(),
                step,
                upstream.id(),
                attempts() + 1,
                remainingMillis(),
                Math.round(estimateMillis),
                context.registry().inFlight(upstream),
                queuedTokens,
                prefillTokens,
                context.routeWatcher().routes().table().version(),
                context.routeWatcher().ageMillis(),
                context.registry().listAgeMillis());
    }

    /** Logs an attempt without a response to relay. */
    final void logFailed(
            String step,
            InFlightRequest inFlight,
            ResultCode code,
            int status,
            RunState runState,
            long sentAtMillis,
            String reason) {
        context.metrics().recordAttemptFailure(code);
        long outputAtMillis = inFlight.firstOutputAtMillis();
        LogEventKind.ATTEMPT_FAILED.log(
                LOG,
                Level.INFO,
                request.metadata().requestId(),
                step,
                inFlight.upstream().id(),
                code.number(),
                status,
                SettingNames.of(runState),
                nowMillis() - sentAtMillis,
                outputAtMillis < 0 ? -1 : nowMillis() - outputAtMillis,
                suspectIds(),
                connectionUse().connectionNumber(),
                connectionUse().earlierRequests(),
                reason);
    }

    /** Sends a complete response to the caller, unless the request has ended. */
    final void sendResponse(int status, List<String> headers, byte[] body) {
        if (end(false)) {
            recordFirstByte();
            caller.reply(status, HopByHopHeaders.removeFrom(headers), body);
            logEnded(ResultCode.OK, status, RunState.RAN, "");
        }
    }

    /** Sends the status and headers to the caller; returns false if the request has ended. */
    final boolean startResponse(int status, List<String> headers) {
        synchronized (this) {
            if (ended) {
                return false;
            }
            responseStarted = true;
        }
        caller.start(status, HopByHopHeaders.removeFrom(headers));
        return true;
    }

    /** Sends a chunk of the body to the caller, unless the request has ended. */
    final void write(byte[] bytes) {
        if (!isEnded()) {
            recordFirstByte();
            caller.write(bytes);
        }
    }

    /** Completes the response to the caller. */
    final void complete(int status) {
        if (end(false)) {
            caller.end();
            logEnded(ResultCode.OK, status, RunState.RAN, "");
        }
    }

    /**
     * Ends the request if an attempt failed for a reason that is no fault of an upstream: the HTTP client cannot express
     * the request, or this thread was interrupted. Returns whether it did.
     */
    final boolean endUnlessUpstreamFailed(InFlightRequest inFlight, WagtailcartException error, boolean ranBefore) {
        if (error.code() != ResultCode.INVALID_ARGUMENT && error.code() != ResultCode.SHUTTING_DOWN) {
            return false;
        }
        inFlight.end();
        if (error.runState() == RunState.NOT_RUN) {
            markNotRun(ranBefore);
        }
        fail(error.code(), String.valueOf(error.getMessage()));
        return true;
    }

    /** Ends a request that did not run with an error, or aborts its response. */
    final void refuse(ResultCode code, String text, long retryAfterMillis) {
        finish(code, RunState.NOT_RUN, text, retryAfterMillis);
    }

    /** Ends a request with an error, which states that the request did not run only if that is certain. */
    final void fail(ResultCode code, String text) {
        finish(code, runState(), text, 0);
    }

    /** Ends a request that no further upstream will be tried for; the caller may return when the service has room. */
    final void giveUp(ResultCode code, String text) {
        if (!mayHaveRun() && !isResponseStarted()) {
            share.recordRefusedByUpstreams();
        }
        giveUp(code, text, retryAfterMillis(spreadRetryMillis(0)));
    }

    /**
     * Ends a request whose wait is too long. The caller may return when the excess has drained, at a random time that
     * differs from those of the callers refused with it.
     */
    final void giveUpWait(ResultCode code, String text, double excessWaitMillis) {
        giveUp(code, text, retryAfterMillis(spreadRetryMillis(excessWaitMillis)));
    }

    /** Ends the call if the quota of its workspace is used up, and otherwise counts it; returns whether it ended. */
    private boolean endIfQuotaIsUsedUp() {
        OptionalLong waitMillis = share.tryAdmitWithinQuota();
        waitMillis.ifPresent(millis -> giveUpWait(
                ResultCode.WORKSPACE_LIMIT, "workspace has used up its quota of requests per second", (double) millis));
        return waitMillis.isPresent();
    }

    /** Ends a request that the share of its workspace does not cover. */
    final void refuseAboveShare(double excessWaitMillis) {
        giveUpWait(
                ResultCode.WORKSPACE_LIMIT, "workspace asks for more than its share of the service", excessWaitMillis);
    }

    /** Returns a spread time where workspaces compete for a service, elsewhere the time that is sent if nothing is known. */
    private long spreadRetryMillis(double excessWaitMillis) {
        if (context.routeWatcher().routes().table().workspaces() == null) {
            return defaultRetryAfterMillis();
        }
        return RetryAfter.millis(
                excessWaitMillis,
                callerRemainingMillis(),
                ThreadLocalRandom.current().nextDouble(),
                defaultRetryAfterMillis());
    }

    /** Ends a request that no further upstream will be tried for. */
    abstract void giveUp(ResultCode code, String text, long retryAfterMillis);

    /** Returns the time after which a caller should retry if nothing else is known. */
    abstract long defaultRetryAfterMillis();

    private void finish(ResultCode code, RunState runState, String text, long retryAfterMillis) {
        if (!end(true)) {
            return;
        }
        withdrawUnlessRun(runState);
        ResultCode sentCode = codeConsistentWith(code, runState);
        caller.refuse(sentCode, runState, request.route().retryable(), text, retryAfterMillis);
        logEnded(code, sentCode.httpStatus(), runState, text);
    }

    /** Returns a result code whose HTTP status does not contradict the run state. */
    private static ResultCode codeConsistentWith(ResultCode code, RunState runState) {
        boolean statesNotRun = code.runState() == RunState.NOT_RUN;
        if (runState == RunState.NOT_RUN) {
            return statesNotRun ? code : ResultCode.DEADLINE_UNREACHABLE;
        }
        return statesNotRun ? ResultCode.OUTCOME_UNKNOWN : code;
    }

    private void withdrawUnlessRun(RunState runState) {
        if (runState == RunState.NOT_RUN) {
            share.withdrawFromQuota();
        }
    }

    private void onCallerDisconnect() {
        if (end(true)) {
            withdrawUnlessRun(runState());
            logEnded(ResultCode.CALLER_GONE, ResultCode.CALLER_GONE.httpStatus(), runState(), "caller disconnected");
        }
    }

    private void onDeadline() {
        if (context.openCalls().endByMillis() < request.deadlineMillis()) {
            fail(ResultCode.SHUTTING_DOWN, "no complete response before the end of the shutdown");
            return;
        }
        boolean routeTimeoutFirst = request.routeDeadlineMillis() <= request.callerDeadlineMillis();
        ResultCode code = routeTimeoutFirst ? ResultCode.ROUTE_TIMEOUT : ResultCode.UPSTREAM_TIMEOUT;
        fail(code, "no complete response before the deadline");
    }

    private RunState runState() {
        return mayHaveRun() ? RunState.MAY_HAVE_RUN : RunState.NOT_RUN;
    }

    /**
     * Marks the request as ended; returns false if it had already ended.
     *
     * @param cancel whether its latest attempt is cancelled
     */
    private synchronized boolean end(boolean cancel) {
        if (ended) {
            return false;
        }
        ended = true;
        if (cancel && currentRequest != null) {
            cancel(currentRequest);
        }
        if (deadline != null) {
            deadline.cancel(false);
        }
        return true;
    }

    private void cancel(UpstreamRequest sent) {
        try {
            context.requestExecutor().execute(sent::cancel);
        } catch (RejectedExecutionException e) {
            // The executor has been shut down. The caller must get its response all the same.
            sent.cancel();
        }
    }

    private synchronized void recordFirstByte() {
        if (firstByteMillis < 0) {
            firstByteMillis = nowMillis() - request.arrivedMillis();
        }
    }

    private void logEnded(ResultCode code, int status, RunState runState, String reason) {
        long totalMillis = nowMillis() - request.arrivedMillis();
        context.metrics().recordEnded(code, totalMillis, firstByteMillis);
        LogEventKind.REQUEST_ENDED.log(
                LOG,
                Level.INFO,
                request.metadata().requestId(),
                request.route().name(),
                request.workspace(),
                code.number(),
                status,
                SettingNames.of(runState),
                attempts(),
                firstByteMillis,
                totalMillis,
                context.routeWatcher().routes().table().version(),
                context.routeWatcher().ageMillis(),
                context.registry().listAgeMillis(),
                connectionUse().connectionNumber(),
                connectionUse().earlierRequests(),
                reason);
    }
}
