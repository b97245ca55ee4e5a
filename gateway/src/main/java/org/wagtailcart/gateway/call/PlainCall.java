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
import org.wagtailcart.gateway.list.UpstreamFilter;
import org.wagtailcart.gateway.list.UpstreamOutcome;
import org.wagtailcart.gateway.protocol.ResponseMetadata;
import org.wagtailcart.gateway.protocol.UpstreamRequestOptions;
import org.wagtailcart.gateway.report.RunListener;
import org.wagtailcart.gateway.send.UpstreamRequest;
import org.wagtailcart.gateway.send.UpstreamResponse;
import org.wagtailcart.gateway.send.UpstreamTimeouts;
import org.wagtailcart.policy.placement.RequestRank;
import org.wagtailcart.policy.share.RequestCost;
import org.wagtailcart.policy.share.ShareRequest;

/**
 * Call to a plain service. It is retried at another replica if the first one did not run it, or if the route allows
 * retries.
 */
final class PlainCall extends GatewayCall {
    private static final String STEP = "call";
    /** Limit on the attempts while no replica has run the request. */
    private static final int MAX_ATTEMPTS = 4;
    /** Fraction of the remaining time that an attempt gets if the request can be retried at another replica. */
    private static final double FIRST_ATTEMPT_TIME_FRACTION = 0.45;
    /** Retry-After value for a service without free replicas. */
    private static final long RETRY_AFTER_MILLIS = 100;

    private final Set<String> excluded = new HashSet<>();
    private int runs;
    private @Nullable BufferedResponse lastFailure;

    /** A response with its complete body. */
    private record BufferedResponse(int status, List<String> headers, byte[] body) {}

    PlainCall(GatewayContext context, InboundRequest request, CallerResponseWriter caller) {
        super(context, request, caller);
    }

    @Override
    void serve() {
        for (int sends = 0; sends < MAX_ATTEMPTS && !isEnded(); sends++) {
            if (endIfQuarantined()) {
                return;
            }
            if (sends > 0 && !tryAcquireRetry()) {
                giveUp(ResultCode.RETRY_BUDGET_EXHAUSTED, "retry budget is exhausted");
                return;
            }
            Optional<InFlightRequest> inFlight =
                    context().registry().startReplicaRequest(request().service(), UpstreamFilter.excluding(excluded));
            if (inFlight.isEmpty()) {
                giveUp(ResultCode.NO_UPSTREAM, "no replica of the service is available");
                return;
            }
            if (attempt(inFlight.get())) {
                return;
            }
        }
        giveUp(ResultCode.QUEUE_FULL, "all replicas refused the request");
    }

    /** Runs an attempt at one replica, or refuses the request; returns whether the call is finished. */
    private boolean attempt(InFlightRequest inFlight) {
        try {
            ShareRequest.Estimate estimate = context().registry().estimateWait(inFlight.upstream());
            if (!share().covers(RequestCost.PLAIN_CALL, estimate)) {
                inFlight.end();
                refuseAboveShare(estimate.waitMillis());
                return true;
            }
            return send(inFlight);
        } finally {
            inFlight.end();
        }
    }

    /** Sends the request to one replica; returns whether the call is finished. */
    private boolean send(InFlightRequest inFlight) {
        Upstream upstream = inFlight.upstream();
        excluded.add(upstream.id());
        boolean ranBefore = mayHaveRun();
        long sentAtMillis = nowMillis();
        logSent(STEP, upstream, context().registry().meanLatencyMillis(upstream), 0, 0);
        RunListener.PlainRun run = context().runs().plainSent(request().workspace(), upstream.id(), sentAtMillis);
        try {
            UpstreamRequest upstreamRequest = prepare(upstream, options(upstream), timeouts(), true);
            try (UpstreamResponse response = upstreamRequest.execute()) {
                ResponseMetadata metadata = parseHead(response);
                run.ended(metadata.notRun() ? RunState.NOT_RUN : RunState.RAN, nowMillis());
                return handleResponse(
                        inFlight,
                        metadata,
                        new BufferedResponse(response.status(), response.headers(), response.readAll()),
                        ranBefore,
                        sentAtMillis);
            }
        } catch (WagtailcartException e) {
            run.ended(e.runState(), nowMillis());
            return handleFailure(inFlight, e, ranBefore, sentAtMillis);
        } finally {
            run.ended(RunState.NOT_RUN, nowMillis());
        }
    }

    private UpstreamRequestOptions options(Upstream upstream) {
        int rank = share().rank(RequestRank.of(request().priority()));
        return new UpstreamRequestOptions(
                upstream.id(),
                callerRemainingMillis(),
                rank,
                false,
                null,
                null,
                "",
                request().workspace());
    }

    private UpstreamTimeouts timeouts() {
        long remainingMillis = Math.max(1, remainingMillis());
        boolean retryPossible = request().route().retryable()
                && runs + 1 < request().route().maxAttempts()
                && context().registry().hasReplica(request().service(), UpstreamFilter.excluding(excluded));
        return timeouts(
                retryPossible ? (long) (remainingMillis * FIRST_ATTEMPT_TIME_FRACTION) : remainingMillis,
                remainingMillis);
    }

    private boolean handleResponse(
            InFlightRequest inFlight,
            ResponseMetadata metadata,
            BufferedResponse response,
            boolean ranBefore,
            long sentAtMillis) {
        if (metadata.notRun()) {
            markNotRun(ranBefore);
            inFlight.end();
            if (metadata.wrongInstance()) {
                context().registry().markMisdirected(inFlight.upstream());
            }
            logFailed(
                    STEP,
                    inFlight,
                    ResultCode.UPSTREAM_REFUSED,
                    metadata.status(),
                    RunState.NOT_RUN,
                    sentAtMillis,
                    metadata.wrongInstance()
                            ? "another instance listens at the address"
                            : "replica did not run the request");
            return false;
        }
        runs++;
        if (metadata.success() && metadata.hasServerStamp()) {
            inFlight.end(UpstreamOutcome.SUCCESS, nowMillis());
            recordCompletion();
            sendResponse(response.status(), response.headers(), response.body());
            return true;
        }
        inFlight.end(outcomeOf(metadata), nowMillis());
        lastFailure = metadata.hasServerStamp() ? response : null;
        logFailed(
                STEP,
                inFlight,
                ResultCode.UPSTREAM_FAILED,
                metadata.status(),
                RunState.RAN,
                sentAtMillis,
                "replica returned an error response");
        boolean serverFault = metadata.status() >= 500 || !metadata.hasServerStamp();
        if (serverFault && mayRunAgain()) {
            return false;
        }
        deliverFailure();
        return true;
    }

    private boolean handleFailure(
            InFlightRequest inFlight, WagtailcartException error, boolean ranBefore, long sentAtMillis) {
        if (isEnded() || endUnlessUpstreamFailed(inFlight, error, ranBefore)) {
            return true;
        }
        boolean notRun = error.runState() == RunState.NOT_RUN;
        inFlight.end(UpstreamOutcome.NO_RESPONSE, nowMillis());
        logFailed(STEP, inFlight, error.code(), 0, error.runState(), sentAtMillis, String.valueOf(error.getMessage()));
        if (notRun) {
            markNotRun(ranBefore);
            return false;
        }
        runs++;
        if (error.code() != ResultCode.UPSTREAM_TIMEOUT) {
            reportConnectionLost(inFlight);
        }
        if (mayRunAgain()) {
            return false;
        }
        fail(error.code(), String.valueOf(error.getMessage()));
        return true;
    }

    private boolean mayRunAgain() {
        return request().route().retryable() && runs < request().route().maxAttempts();
    }

    @Override
    long defaultRetryAfterMillis() {
        return RETRY_AFTER_MILLIS;
    }

    @Override
    void giveUp(ResultCode code, String message, long retryAfterMillis) {
        if (lastFailure != null) {
            deliverFailure();
        } else if (mayHaveRun()) {
            fail(ResultCode.UPSTREAM_FAILED, message);
        } else {
            refuse(code, message, retryAfterMillis);
        }
    }

    /** Relays the error response of a replica, unless its status would state that the request did not run. */
    private void deliverFailure() {
        BufferedResponse failure = lastFailure;
        if (failure == null || NotRunStatuses.notRun(failure.status())) {
            fail(ResultCode.UPSTREAM_FAILED, "replica returned an error response");
        } else {
            sendResponse(failure.status(), failure.headers(), failure.body());
        }
    }
}
