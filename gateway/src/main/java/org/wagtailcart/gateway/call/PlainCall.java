package org.wagtailcart.gateway.call;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.gateway.list.InFlightRequest;
import org.wagtailcart.gateway.list.Upstream;
import org.wagtailcart.gateway.list.UpstreamOutcome;
import org.wagtailcart.gateway.protocol.ResponseMetadata;
import org.wagtailcart.gateway.protocol.UpstreamRequestOptions;
import org.wagtailcart.gateway.send.UpstreamRequest;
import org.wagtailcart.gateway.send.UpstreamResponse;
import org.wagtailcart.gateway.send.UpstreamTimeouts;
import org.wagtailcart.policy.placement.RequestRank;

/** A request to a plain service: another replica gets it when the first did not run it, or when it may run twice. */
final class PlainCall extends GatewayCall {
    private static final String STEP = "call";
    /** Replicas that are tried while none has run the request. */
    private static final int MAX_SENDS = 4;
    /** Part of the remaining time that a repeatable request gives the first replica. */
    private static final double FIRST_ATTEMPT_TIME_FRACTION = 0.45;
    /** Time after which a caller may find a place at a full service. */
    private static final long RETRY_AFTER_MILLIS = 100;

    private final Set<String> excluded = new HashSet<>();
    private int runs;
    private @Nullable BufferedResponse lastFailure;

    /** An answer read to its end. */
    private record BufferedResponse(int status, List<String> headers, byte[] body) {}

    PlainCall(GatewayContext context, InboundRequest request, CallerResponseWriter caller) {
        super(context, request, caller);
    }

    @Override
    void serve() {
        for (int sends = 0; sends < MAX_SENDS && !isEnded(); sends++) {
            if (sends > 0 && !tryAcquireRetry()) {
                giveUp(ResultCode.RETRY_BUDGET_EXHAUSTED, "no retry is left in the budget");
                return;
            }
            Optional<InFlightRequest> use =
                    context().registry().startReplicaRequest(request().service(), excluded);
            if (use.isEmpty()) {
                giveUp(ResultCode.NO_UPSTREAM, "no replica of the service is left");
                return;
            }
            if (send(use.get())) {
                return;
            }
        }
        giveUp(ResultCode.QUEUE_FULL, "all replicas refused the request");
    }

    /** Sends to one replica; returns whether the request is done. */
    private boolean send(InFlightRequest use) {
        Upstream upstream = use.upstream();
        excluded.add(upstream.id());
        boolean ranBefore = mayHaveRun();
        long sentMillis = nowMillis();
        logSent(STEP, upstream, context().registry().meanLatencyMillis(upstream), 0, 0);
        try {
            UpstreamRequest send = prepare(upstream, instructions(upstream), limits(), true);
            try (UpstreamResponse answer = send.execute()) {
                ResponseMetadata facts = context().protocol().parseResponse(answer.status(), answer.headers());
                checkRequestId(facts, answer);
                return handleResponse(
                        use,
                        facts,
                        new BufferedResponse(answer.status(), answer.headers(), answer.readAll()),
                        ranBefore,
                        sentMillis);
            }
        } catch (WagtailcartException e) {
            return handleFailure(use, e, ranBefore, sentMillis);
        } finally {
            use.end();
        }
    }

    private UpstreamRequestOptions instructions(Upstream upstream) {
        int rank = RequestRank.of(request().route().priority());
        return new UpstreamRequestOptions(upstream.id(), callerRemainingMillis(), rank, false, null, null, "");
    }

    private UpstreamTimeouts limits() {
        long leftMillis = Math.max(1, remainingMillis());
        boolean another = request().route().retryable()
                && runs + 1 < request().route().maxAttempts()
                && context().registry().hasReplica(request().service(), excluded);
        return new UpstreamTimeouts(
                another ? (long) (leftMillis * FIRST_ATTEMPT_TIME_FRACTION) : leftMillis, leftMillis);
    }

    private boolean handleResponse(
            InFlightRequest use, ResponseMetadata facts, BufferedResponse answer, boolean ranBefore, long sentMillis) {
        if (facts.notRun()) {
            markNotRun(ranBefore);
            use.end();
            if (facts.wrongInstance()) {
                context().registry().markMisdirected(use.upstream());
            }
            logFailed(
                    STEP,
                    use.upstream(),
                    ResultCode.UPSTREAM_REFUSED,
                    facts.status(),
                    RunState.NOT_RUN,
                    sentMillis,
                    facts.wrongInstance() ? "another process has the address" : "replica did not run it");
            return false;
        }
        runs++;
        if (facts.success() && facts.hasServerStamp()) {
            use.end(UpstreamOutcome.SUCCESS, nowMillis());
            sendResponse(answer.status(), answer.headers(), answer.body());
            return true;
        }
        use.end(outcomeOf(facts), nowMillis());
        lastFailure = facts.hasServerStamp() ? answer : null;
        logFailed(
                STEP,
                use.upstream(),
                ResultCode.UPSTREAM_FAILED,
                facts.status(),
                RunState.RAN,
                sentMillis,
                "replica answered with a failure");
        boolean serverFault = facts.status() >= 500 || !facts.hasServerStamp();
        if (serverFault && mayRunAgain()) {
            return false;
        }
        deliverFailure();
        return true;
    }

    private boolean handleFailure(InFlightRequest use, WagtailcartException error, boolean ranBefore, long sentMillis) {
        if (isEnded()) {
            return true;
        }
        boolean notRun = error.runState() == RunState.NOT_RUN;
        use.end(UpstreamOutcome.NO_RESPONSE, nowMillis());
        logFailed(
                STEP,
                use.upstream(),
                error.code(),
                0,
                error.runState(),
                sentMillis,
                String.valueOf(error.getMessage()));
        if (notRun) {
            markNotRun(ranBefore);
            return false;
        }
        runs++;
        if (mayRunAgain()) {
            return false;
        }
        fail(error.code(), String.valueOf(error.getMessage()));
        return true;
    }

    private boolean mayRunAgain() {
        return request().route().retryable() && runs < request().route().maxAttempts();
    }

    private void giveUp(ResultCode code, String text) {
        if (lastFailure != null) {
            deliverFailure();
        } else if (mayHaveRun()) {
            fail(ResultCode.UPSTREAM_FAILED, text);
        } else {
            refuse(code, text, RETRY_AFTER_MILLIS);
        }
    }

    /** Passes the failure of a replica on, unless its status would promise that the request did not run. */
    private void deliverFailure() {
        BufferedResponse failure = lastFailure;
        if (failure == null || NotRunStatuses.notRun(failure.status())) {
            fail(ResultCode.UPSTREAM_FAILED, "replica answered with a failure");
        } else {
            sendResponse(failure.status(), failure.headers(), failure.body());
        }
    }
}
