package org.wagtailcart.gateway.call;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.gateway.list.InFlightRequest;
import org.wagtailcart.gateway.list.Upstream;
import org.wagtailcart.gateway.list.UpstreamOutcome;
import org.wagtailcart.gateway.list.UpstreamRegistry;
import org.wagtailcart.gateway.protocol.KvCacheHandle;
import org.wagtailcart.gateway.protocol.Prompt;
import org.wagtailcart.gateway.protocol.ResponseMetadata;
import org.wagtailcart.gateway.protocol.UpstreamRequestOptions;
import org.wagtailcart.gateway.send.UpstreamRequest;
import org.wagtailcart.gateway.send.UpstreamResponse;
import org.wagtailcart.gateway.send.UpstreamTimeouts;
import org.wagtailcart.policy.placement.PromptPlacement;
import org.wagtailcart.policy.placement.RequestRank;

/**
 * A request whose answer is a stream of events. One engine reads its prompt, another generates from the KV cache of the
 * first. Only a stream that may be resumed goes on at another engine after it may have begun.
 */
final class StreamCall extends GatewayCall {
    private static final String STEP_PROMPT = "prompt";
    private static final String STEP_STREAM = "stream";
    /** Sends of each step before the request is given up. */
    private static final int MAX_SENDS = 4;
    /** Longest pause in a stream; the usual caller gives up after two seconds or more. */
    private static final long MAX_EVENT_GAP_MILLIS = 2_000;
    /** Part of the remaining time that the estimate may take. */
    private static final double USABLE_TIME_FRACTION = 0.9;

    private static final long RETRY_AFTER_MILLIS = 250;
    private static final long RELEASE_TIMEOUT_MILLIS = 1_000;
    private static final Logger LOG = System.getLogger(StreamCall.class.getName());

    private final Set<String> excluded = new HashSet<>();
    private final SseReassembler events = new SseReassembler();
    private int sends;
    /** Sends that reached an engine, other than the first prompt that one read. */
    private int deliveredSends;

    private int runs;

    /** How one send to an engine that generates ended. */
    private enum StreamEnd {
        DONE,
        NOT_RUN,
        BROKEN
    }

    StreamCall(GatewayContext context, InboundRequest request, CallerResponseWriter caller) {
        super(context, request, caller);
    }

    @Override
    void serve() {
        while (!isEnded()) {
            if (sends >= MAX_SENDS) {
                giveUp(ResultCode.QUEUE_FULL, "all engines refused the request");
                return;
            }
            Optional<UpstreamRegistry.Placement> placement = place();
            if (placement.isEmpty()) {
                giveUp(ResultCode.NO_UPSTREAM, "no engine is left");
                return;
            }
            if (attempt(placement.get())) {
                return;
            }
        }
    }

    private Optional<UpstreamRegistry.Placement> place() {
        Prompt prompt = request().metadata().prompt();
        if (prompt != null && context().registry().hasEngines(request().service())) {
            return context().registry().place(request().service(), prompt, excluded);
        }
        return context()
                .registry()
                .startReplicaRequest(request().service(), excluded)
                .map(use -> {
                    use.end();
                    return new UpstreamRegistry.Placement(
                            Optional.empty(),
                            use.upstream(),
                            Optional.empty(),
                            PromptPlacement.TimeEstimate.NONE,
                            0,
                            0);
                });
    }

    /** Tries one placement; returns whether the request is done. */
    private boolean attempt(UpstreamRegistry.Placement placement) {
        if (placement.times().firstTokenMillis() > USABLE_TIME_FRACTION * remainingMillis()) {
            giveUp(
                    ResultCode.DEADLINE_UNREACHABLE,
                    "first token estimated in " + Math.round(placement.times().firstTokenMillis()) + " ms");
            return true;
        }
        Prompt prompt = request().metadata().prompt();
        KvCacheHandle source = null;
        if (prompt != null && placement.prefill().isPresent()) {
            source = prefill(placement.prefill().get(), prompt, placement);
            if (source == null) {
                return isEnded();
            }
            if (isEnded()) {
                releaseKvCache(source);
                return true;
            }
        }
        StreamEnd end = stream(placement, prompt, source);
        return switch (end) {
            case DONE -> true;
            case NOT_RUN -> isEnded();
            case BROKEN -> isEnded() || !mayResume();
        };
    }

    /**
     * Returns whether the next send is within the retry budget. The first arrival of a request is free, and so is the first
     * prompt that an engine reads for it.
     */
    private boolean tryAcquireSend(boolean free) {
        return free || tryAcquireRetry();
    }

    private @Nullable KvCacheHandle prefill(Upstream engine, Prompt prompt, UpstreamRegistry.Placement placement) {
        if (!tryAcquireSend(sends == 0)) {
            giveUp(ResultCode.RETRY_BUDGET_EXHAUSTED, "no retry is left in the budget");
            return null;
        }
        sends++;
        long sentMillis = nowMillis();
        logSent(
                STEP_PROMPT,
                engine,
                placement.times().firstTokenMillis(),
                placement.queuedTokens(),
                placement.prefillTokens());
        InFlightRequest use = context()
                .registry()
                .startPrefill(
                        engine,
                        prompt,
                        placement.prefillTokens(),
                        placement.times().prefillMillis());
        try {
            long limitMillis = Math.max(1, remainingMillis());
            UpstreamRequestOptions promptOnly = new UpstreamRequestOptions(
                    engine.id(),
                    callerRemainingMillis(),
                    rank(placement),
                    true,
                    null,
                    prefixSourceAddress(placement),
                    "");
            UpstreamRequest send = prepare(engine, promptOnly, new UpstreamTimeouts(limitMillis, limitMillis), false);
            try (ResponseWatchdog guard = new ResponseWatchdog(context(), engine, send);
                    UpstreamResponse answer = guard.execute()) {
                byte[] body = answer.readAll();
                ResponseMetadata facts = context().protocol().parseResponse(answer.status(), answer.headers());
                checkRequestId(facts, answer);
                if (facts.success()) {
                    use.endPrefill(nowMillis());
                    return context().protocol().parseKvCacheHandle(engine.address(), body);
                }
                use.end();
                handleRefusal(engine, facts);
                deliveredSends++;
                logFailed(
                        STEP_PROMPT,
                        engine,
                        ResultCode.UPSTREAM_REFUSED,
                        facts.status(),
                        RunState.NOT_RUN,
                        sentMillis,
                        "prompt was not read");
            }
        } catch (WagtailcartException e) {
            if (!isEnded()) {
                use.end(UpstreamOutcome.NO_RESPONSE, nowMillis());
                excluded.add(engine.id());
                deliveredSends += e.runState() == RunState.NOT_RUN ? 0 : 1;
                logFailed(STEP_PROMPT, engine, e.code(), 0, e.runState(), sentMillis, String.valueOf(e.getMessage()));
            }
        } finally {
            use.end();
        }
        return null;
    }

    private StreamEnd stream(
            UpstreamRegistry.Placement placement, @Nullable Prompt prompt, @Nullable KvCacheHandle source) {
        Upstream engine = placement.decode();
        if (!tryAcquireSend(deliveredSends == 0)) {
            giveUp(ResultCode.RETRY_BUDGET_EXHAUSTED, "no retry is left in the budget");
            if (source != null) {
                releaseKvCache(source);
            }
            return StreamEnd.DONE;
        }
        if (source == null) {
            sends++;
        }
        deliveredSends++;
        boolean ranBefore = mayHaveRun();
        long sentMillis = nowMillis();
        logSent(
                STEP_STREAM,
                engine,
                placement.times().firstTokenMillis(),
                placement.queuedTokens(),
                source == null ? placement.prefillTokens() : 0);
        InFlightRequest use = useForStream(placement, prompt, source != null);
        UpstreamRequestOptions all = new UpstreamRequestOptions(
                engine.id(),
                callerRemainingMillis(),
                rank(placement),
                false,
                source,
                source == null ? prefixSourceAddress(placement) : null,
                resumeAfter());
        try {
            long leftMillis = Math.max(1, remainingMillis());
            UpstreamRequest send = prepare(engine, all, new UpstreamTimeouts(leftMillis, MAX_EVENT_GAP_MILLIS), true);
            runs++;
            try (UpstreamResponse answer = send.execute()) {
                ResponseMetadata facts = context().protocol().parseResponse(answer.status(), answer.headers());
                return relayStream(use, facts, answer, ranBefore, sentMillis);
            }
        } catch (WagtailcartException e) {
            return handleStreamFailure(use, e, ranBefore, sentMillis);
        } finally {
            use.end();
        }
    }

    /** Frees a KV cache that nobody will take. */
    private void releaseKvCache(KvCacheHandle source) {
        try {
            UpstreamTimeouts limits = new UpstreamTimeouts(RELEASE_TIMEOUT_MILLIS, RELEASE_TIMEOUT_MILLIS);
            String path = context().protocol().releasePath(source);
            context()
                    .client()
                    .prepare(source.engine(), "DELETE", path, List.of(), new byte[0], limits)
                    .execute()
                    .close();
        } catch (WagtailcartException e) {
            // The engine frees it by itself after some seconds.
            LOG.log(Level.DEBUG, "cache not released: " + e.getMessage());
        }
    }

    private InFlightRequest useForStream(
            UpstreamRegistry.Placement placement, @Nullable Prompt prompt, boolean fromOther) {
        UpstreamRegistry book = context().registry();
        Upstream engine = placement.decode();
        if (fromOther) {
            return placement
                    .prefill()
                    .map(reader -> book.startDecode(engine, reader))
                    .orElseGet(() -> book.startRequest(engine));
        }
        return prompt == null
                ? book.startRequest(engine)
                : book.startPrefill(
                        engine,
                        prompt,
                        placement.prefillTokens(),
                        placement.times().prefillMillis());
    }

    /** An engine that does not do what the list says of it is left alone until the list is read again. */
    private void handleRefusal(Upstream engine, ResponseMetadata facts) {
        excluded.add(engine.id());
        if (facts.wrongInstance()) {
            context().registry().markMisdirected(engine);
        } else {
            context().registry().markFull(engine);
        }
    }

    private int rank(UpstreamRegistry.Placement placement) {
        if (request().route().targetLatencyMillis() <= 0) {
            return RequestRank.of(request().route().priority());
        }
        long dueMillis = request().arrivedMillis() + request().route().targetLatencyMillis();
        double slackMillis = dueMillis - nowMillis() - placement.times().unloadedFirstTokenMillis();
        return RequestRank.of(request().route().priority(), slackMillis);
    }

    private static @Nullable Address prefixSourceAddress(UpstreamRegistry.Placement placement) {
        return placement.prefixSource().map(Upstream::address).orElse(null);
    }

    private String resumeAfter() {
        return isResponseStarted() ? events.lastEventId() : "";
    }

    private StreamEnd relayStream(
            InFlightRequest use, ResponseMetadata facts, UpstreamResponse answer, boolean ranBefore, long sentMillis) {
        checkRequestId(facts, answer);
        if (facts.notRun()) {
            markNotRun(ranBefore);
            runs--;
            use.end();
            handleRefusal(use.upstream(), facts);
            logFailed(
                    STEP_STREAM,
                    use.upstream(),
                    ResultCode.UPSTREAM_REFUSED,
                    facts.status(),
                    RunState.NOT_RUN,
                    sentMillis,
                    "engine did not run it");
            return StreamEnd.NOT_RUN;
        }
        if (!facts.success() || !facts.hasServerStamp()) {
            return relayFailure(use, facts, answer, sentMillis);
        }
        if (!isResponseStarted() && !startResponse(answer.status(), answer.headers())) {
            return StreamEnd.DONE;
        }
        events.startContinuation();
        for (byte[] part = answer.read(); part.length > 0; part = answer.read()) {
            byte[] whole = events.accept(part);
            if (whole.length > 0) {
                use.recordFirstOutput();
                write(whole);
            }
            if (isEnded()) {
                return StreamEnd.DONE;
            }
        }
        if (events.hasPartialEvent()) {
            throw new WagtailcartException(ResultCode.STREAM_INCOMPLETE, "stream ended within an event");
        }
        use.end(UpstreamOutcome.SUCCESS, nowMillis());
        complete(answer.status());
        return StreamEnd.DONE;
    }

    private StreamEnd relayFailure(
            InFlightRequest use, ResponseMetadata facts, UpstreamResponse answer, long sentMillis) {
        byte[] body = answer.readAll();
        List<String> headers = answer.headers();
        use.end(outcomeOf(facts), nowMillis());
        excluded.add(use.upstream().id());
        logFailed(
                STEP_STREAM,
                use.upstream(),
                ResultCode.UPSTREAM_FAILED,
                facts.status(),
                RunState.RAN,
                sentMillis,
                "engine answered with a failure");
        if (facts.status() >= 500 && mayResume()) {
            return StreamEnd.BROKEN;
        }
        if (isResponseStarted() || !facts.hasServerStamp() || NotRunStatuses.notRun(facts.status())) {
            fail(ResultCode.UPSTREAM_FAILED, "engine answered with status " + facts.status());
        } else {
            sendResponse(facts.status(), headers, body);
        }
        return StreamEnd.DONE;
    }

    private StreamEnd handleStreamFailure(
            InFlightRequest use, WagtailcartException error, boolean ranBefore, long sentMillis) {
        if (isEnded()) {
            return StreamEnd.DONE;
        }
        use.end(UpstreamOutcome.NO_RESPONSE, nowMillis());
        excluded.add(use.upstream().id());
        logFailed(
                STEP_STREAM,
                use.upstream(),
                error.code(),
                0,
                error.runState(),
                sentMillis,
                String.valueOf(error.getMessage()));
        if (error.runState() == RunState.NOT_RUN) {
            markNotRun(ranBefore);
            deliveredSends--;
            runs--;
            return StreamEnd.NOT_RUN;
        }
        if (!mayResume()) {
            fail(error.code(), String.valueOf(error.getMessage()));
        }
        return StreamEnd.BROKEN;
    }

    private boolean mayResume() {
        return request().route().retryable() && runs < request().route().maxAttempts();
    }

    private void giveUp(ResultCode code, String text) {
        if (mayHaveRun() || isResponseStarted()) {
            fail(ResultCode.UPSTREAM_FAILED, text);
        } else {
            refuse(code, text, RETRY_AFTER_MILLIS);
        }
    }
}
