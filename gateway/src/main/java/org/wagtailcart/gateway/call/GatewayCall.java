package org.wagtailcart.gateway.call;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.HopByHopHeaders;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.gateway.list.Upstream;
import org.wagtailcart.gateway.list.UpstreamOutcome;
import org.wagtailcart.gateway.protocol.ResponseMetadata;
import org.wagtailcart.gateway.protocol.UpstreamRequestOptions;
import org.wagtailcart.gateway.send.UpstreamRequest;
import org.wagtailcart.gateway.send.UpstreamResponse;
import org.wagtailcart.gateway.send.UpstreamTimeouts;

/**
 * One request from its arrival to its end. It ends once: by an answer, a refusal, the caller's leaving or its deadline,
 * whichever comes first; after that nothing more is sent to an upstream.
 */
abstract class GatewayCall implements Runnable {
    private static final Logger LOG = System.getLogger(GatewayCall.class.getName());
    /** Time before the caller's deadline at which a response that is not there is given up. */
    private static final long DEADLINE_MARGIN_MILLIS = 20;

    private final GatewayContext context;
    private final InboundRequest request;
    private final CallerResponseWriter caller;

    // Guarded by this.
    private boolean ended;
    private boolean mayHaveRun;
    private boolean responseStarted;
    private @Nullable UpstreamRequest currentRequest;
    private int attempts;
    private long firstByteMillis = -1;
    private @Nullable Future<?> deadline;

    GatewayCall(GatewayContext context, InboundRequest request, CallerResponseWriter caller) {
        this.context = context;
        this.request = request;
        this.caller = caller;
    }

    final GatewayContext context() {
        return context;
    }

    final InboundRequest request() {
        return request;
    }

    /** Watches the caller and the deadline, then does the work. */
    @Override
    public final void run() {
        caller.onDisconnect(this::onCallerDisconnect);
        long leftMillis = remainingMillis() - DEADLINE_MARGIN_MILLIS;
        synchronized (this) {
            deadline = context.timer().schedule(this::onDeadline, Math.max(1, leftMillis), TimeUnit.MILLISECONDS);
        }
        try {
            serve();
        } catch (WagtailcartException e) {
            fail(e.code(), String.valueOf(e.getMessage()));
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "request " + request.metadata().requestId(), e);
            fail(ResultCode.INTERNAL_ERROR, "gateway failed: " + e);
        }
    }

    /** Sends the request and passes the answer on. */
    abstract void serve();

    final long nowMillis() {
        return context.clock().nowMillis();
    }

    final long remainingMillis() {
        return request.deadlineMillis() - nowMillis();
    }

    final synchronized boolean isEnded() {
        return ended;
    }

    final synchronized boolean isResponseStarted() {
        return responseStarted;
    }

    private synchronized int attempts() {
        return attempts;
    }

    /**
     * Prepares a send to an upstream and notes that it may run the request.
     *
     * @param runs whether the upstream runs the request by it, rather than only reading its prompt
     * @throws WagtailcartException with {@link ResultCode#CALLER_GONE} when the request has ended
     */
    final UpstreamRequest prepare(
            Upstream upstream, UpstreamRequestOptions instructions, UpstreamTimeouts limits, boolean runs) {
        List<String> headers = context.protocol().upstreamHeaders(request.headers(), instructions);
        UpstreamRequest send = context.client()
                .prepare(upstream.address(), request.method(), request.target(), headers, request.body(), limits);
        synchronized (this) {
            if (ended) {
                throw new WagtailcartException(ResultCode.CALLER_GONE, RunState.NOT_RUN, "request has ended");
            }
            currentRequest = send;
            mayHaveRun |= runs;
            attempts++;
            return send;
        }
    }

    /** Notes the proof that the latest send did not run the request. */
    final synchronized void markNotRun(boolean ranBefore) {
        mayHaveRun = ranBefore;
    }

    final synchronized boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Checks that an answer belongs to this request. Upstreams repeat its id; only a refusal on a connection that has carried
     * no other request may lack it.
     *
     * @throws WagtailcartException with {@link ResultCode#ANSWER_MISMATCH} when it may belong to another one
     */
    final void checkRequestId(ResponseMetadata facts, UpstreamResponse answer) {
        boolean own = facts.requestId().equals(request.metadata().requestId());
        boolean bareRefusal = facts.requestId().isEmpty() && facts.notRun() && !answer.reusedConnection();
        if (!own && !bareRefusal) {
            throw new WagtailcartException(
                    ResultCode.ANSWER_MISMATCH,
                    RunState.MAY_HAVE_RUN,
                    "answer with status " + facts.status() + " belongs to request \"" + facts.requestId() + "\"");
        }
    }

    /** Returns what an answer that is no success says of its upstream's health. */
    static UpstreamOutcome outcomeOf(ResponseMetadata facts) {
        if (!facts.hasServerStamp()) {
            return UpstreamOutcome.NO_RESPONSE;
        }
        return facts.status() < 500 ? UpstreamOutcome.SUCCESS : UpstreamOutcome.ERROR_RESPONSE;
    }

    /** Returns how long an upstream may work; it stops then, and the caller's own time lets it finish its work. */
    final long callerRemainingMillis() {
        return Math.max(1, request.callerDeadlineMillis() - nowMillis());
    }

    /** Returns whether another send is within the budget that all gateways share. */
    final boolean tryAcquireRetry() {
        return context.retryBudgets()
                .tryAcquire(request.service(), context.routeWatcher().gatewayCount(), nowMillis());
    }

    /** Logs the choice of an upstream. */
    final void logSent(String step, Upstream upstream, double estimateMillis, long queuedTokens, int unreadTokens) {
        LogEventKind.REQUEST_SENT.log(
                LOG,
                Level.INFO,
                request.metadata().requestId(),
                request.route().name(),
                step,
                upstream.id(),
                attempts() + 1,
                remainingMillis(),
                Math.round(estimateMillis),
                context.registry().inFlight(upstream),
                queuedTokens,
                unreadTokens,
                context.routeWatcher().routes().table().version(),
                context.routeWatcher().ageMillis(),
                context.registry().listAgeMillis());
    }

    /** Logs a send that gave no answer to pass on. */
    final void logFailed(
            String step,
            Upstream upstream,
            ResultCode code,
            int status,
            RunState runState,
            long sentMillis,
            String why) {
        context.metrics().recordAttemptFailure(code);
        LogEventKind.ATTEMPT_FAILED.log(
                LOG,
                Level.INFO,
                request.metadata().requestId(),
                step,
                upstream.id(),
                code.number(),
                status,
                SettingNames.of(runState),
                nowMillis() - sentMillis,
                why);
    }

    /** Passes a whole answer on, unless the request has ended. */
    final void sendResponse(int status, List<String> headers, byte[] body) {
        if (end(false)) {
            recordFirstByte();
            caller.reply(status, HopByHopHeaders.removeFrom(headers), body);
            logEnded(ResultCode.OK, status, RunState.RAN, "");
        }
    }

    /** Starts to pass an answer on; returns false when the request has ended. */
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

    /** Passes a part of the answer on. */
    final void write(byte[] bytes) {
        if (!isEnded()) {
            recordFirstByte();
            caller.write(bytes);
        }
    }

    /** Marks the answer as complete. */
    final void complete(int status) {
        if (end(false)) {
            caller.end();
            logEnded(ResultCode.OK, status, RunState.RAN, "");
        }
    }

    /** Refuses a request that did not run, or breaks the response off. */
    final void refuse(ResultCode code, String text, long retryAfterMillis) {
        finish(code, RunState.NOT_RUN, text, retryAfterMillis);
    }

    /** Ends a request without an answer; says that it did not run only when that is known. */
    final void fail(ResultCode code, String text) {
        finish(code, runState(), text, 0);
    }

    private void finish(ResultCode code, RunState runState, String text, long retryAfterMillis) {
        if (!end(true)) {
            return;
        }
        ResultCode said = codeConsistentWith(code, runState);
        caller.refuse(said, runState, request.route().retryable(), text, retryAfterMillis);
        logEnded(code, said.httpStatus(), runState, text);
    }

    /** Returns a code whose HTTP status promises no more than what is known. */
    private static ResultCode codeConsistentWith(ResultCode code, RunState runState) {
        boolean promises = code.runState() == RunState.NOT_RUN;
        if (runState == RunState.NOT_RUN) {
            return promises ? code : ResultCode.DEADLINE_UNREACHABLE;
        }
        return promises ? ResultCode.OUTCOME_UNKNOWN : code;
    }

    private void onCallerDisconnect() {
        if (end(true)) {
            logEnded(ResultCode.CALLER_GONE, ResultCode.CALLER_GONE.httpStatus(), runState(), "caller left");
        }
    }

    private void onDeadline() {
        boolean routeTimeout = request.routeDeadlineMillis() <= request.callerDeadlineMillis();
        ResultCode code = routeTimeout ? ResultCode.ROUTE_TIMEOUT : ResultCode.UPSTREAM_TIMEOUT;
        fail(code, "no complete answer in time");
    }

    private RunState runState() {
        return mayHaveRun() ? RunState.MAY_HAVE_RUN : RunState.NOT_RUN;
    }

    /**
     * Ends the request; returns false when it had ended before.
     *
     * @param cancel whether its latest send is given up
     */
    private synchronized boolean end(boolean cancel) {
        if (ended) {
            return false;
        }
        ended = true;
        if (cancel && currentRequest != null) {
            UpstreamRequest sent = currentRequest;
            context.requestExecutor().execute(sent::cancel);
        }
        if (deadline != null) {
            deadline.cancel(false);
        }
        return true;
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
                code.number(),
                status,
                SettingNames.of(runState),
                attempts(),
                firstByteMillis,
                totalMillis,
                context.routeWatcher().routes().table().version(),
                context.routeWatcher().ageMillis(),
                context.registry().listAgeMillis(),
                reason);
    }
}
