package org.wagtailcart.gateway.call;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.HeaderLines;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.gateway.list.InFlightRequest;
import org.wagtailcart.gateway.list.Upstream;
import org.wagtailcart.gateway.list.UpstreamFilter;
import org.wagtailcart.gateway.list.UpstreamOutcome;
import org.wagtailcart.gateway.list.UpstreamRegistry;
import org.wagtailcart.gateway.protocol.KvCacheHandle;
import org.wagtailcart.gateway.protocol.Prompt;
import org.wagtailcart.gateway.protocol.RequestMetadata;
import org.wagtailcart.gateway.protocol.ResponseMetadata;
import org.wagtailcart.gateway.protocol.UpstreamRequestOptions;
import org.wagtailcart.gateway.send.ResponseCheck;
import org.wagtailcart.gateway.send.UpstreamRequest;
import org.wagtailcart.gateway.send.UpstreamResponse;
import org.wagtailcart.gateway.send.UpstreamTimeouts;
import org.wagtailcart.gateway.stream.StreamResumption;
import org.wagtailcart.policy.placement.PromptPlacement;
import org.wagtailcart.policy.placement.RequestRank;
import org.wagtailcart.policy.share.ShareRequest;
import org.wagtailcart.policy.stream.EventSequence;
import org.wagtailcart.policy.stream.StreamOrigin;

/**
 * Call whose response is an event stream. One engine runs the prefill, another decodes from the KV cache of the first.
 * After a stream may have started, it continues at another engine only if its route allows resuming.
 */
final class StreamCall extends GatewayCall {
    private static final String STEP_PROMPT = "prompt";
    private static final String STEP_STREAM = "stream";
    /** Limit on the attempts before the request is refused. */
    private static final int MAX_ATTEMPTS = 4;
    /** Gap between reads after which a stream continues at another engine, if there is one. */
    private static final long MAX_EVENT_GAP_MILLIS = 2_000;
    /** Limit on the estimated time to first token, as a fraction of the remaining time. */
    private static final double USABLE_TIME_FRACTION = 0.9;

    private static final long RETRY_AFTER_MILLIS = 250;
    private static final long RELEASE_TIMEOUT_MILLIS = 1_000;
    private static final Logger LOG = System.getLogger(StreamCall.class.getName());

    private final Set<String> excluded = new HashSet<>();
    private final SseReassembler events;
    private int sends;
    /** Attempts that reached an engine, excluding successful prefills. */
    private int deliveredAttempts;

    private int runs;
    /** Whether an event of the response has arrived. */
    private boolean begun;
    /** Monotonic time of the latest bytes of the current stream, -1 before its head. */
    private long lastReadAtMillis = -1;
    /** Content type of the response that was started. */
    private String contentType = "";
    /** Where the stream began, null before its first event. */
    private @Nullable StreamOrigin origin;
    /** Service and version of the current attempt, as listed when it was sent. */
    private StreamOrigin attemptOrigin;

    /** Outcome of an attempt at a decode engine. */
    private enum StreamEnd {
        DONE,
        NOT_RUN,
        BROKEN
    }

    StreamCall(GatewayContext context, InboundRequest request, CallerResponseWriter caller) {
        super(context, request, caller);
        this.attemptOrigin = new StreamOrigin(request.service(), "");
        this.events = new SseReassembler(EventSequence.after(request.metadata().lastEventNumber()));
    }

    @Override
    void serve() {
        if (endIfNotResumable()) {
            return;
        }
        while (!isEnded()) {
            if (endIfQuarantined()) {
                return;
            }
            if (sends >= MAX_ATTEMPTS) {
                giveUp(ResultCode.QUEUE_FULL, "all engines refused the request");
                return;
            }
            Optional<UpstreamRegistry.Placement> placement = place();
            if (placement.isEmpty()) {
                giveUp(ResultCode.NO_UPSTREAM, "no engine is available");
                return;
            }
            if (attempt(placement.get())) {
                return;
            }
        }
    }

    private Optional<UpstreamRegistry.Placement> place() {
        Prompt prompt = request().metadata().prompt();
        if (prompt != null && context().registry().hasEngines(service())) {
            return context().registry().place(service(), prompt, filter(excluded));
        }
        return context()
                .registry()
                .startReplicaRequest(service(), filter(excluded))
                .map(inFlight -> {
                    inFlight.end();
                    return new UpstreamRegistry.Placement(
                            Optional.empty(),
                            inFlight.upstream(),
                            Optional.empty(),
                            PromptPlacement.TimeEstimate.NONE,
                            0,
                            0);
                });
    }

    /** Returns the filter for the upstreams that may begin or continue the stream. */
    private UpstreamFilter filter(Set<String> excludedIds) {
        StreamOrigin known = origin;
        return new UpstreamFilter(excludedIds, known == null ? null : known.softwareVersion());
    }

    @Override
    String service() {
        StreamOrigin known = origin;
        return known == null ? super.service() : known.service();
    }

    /** Finds out where a resumed stream began; returns whether the request has ended because it cannot go on there. */
    private boolean endIfNotResumable() {
        RequestMetadata metadata = request().metadata();
        if (metadata.lastEventNumber().isEmpty()) {
            return false;
        }
        StreamResumption.Decision decision =
                context().streamResumption().decide(metadata, request().route());
        Optional<StreamOrigin> found = decision.origin();
        context().metrics().recordResumption(decision.outcome());
        LogEventKind.STREAM_RESUMED.log(
                LOG,
                decision.outcome() == StreamResumption.Outcome.GOES_ON ? Level.INFO : Level.WARNING,
                metadata.requestId(),
                metadata.resumes(),
                metadata.lastEventId(),
                found.map(StreamOrigin::service).orElse(""),
                found.map(StreamOrigin::softwareVersion).orElse(""),
                SettingNames.of(decision.outcome()));
        origin = found.orElse(null);
        switch (decision.outcome()) {
            case VERSION_UNKNOWN ->
                giveUp(ResultCode.STREAM_VERSION_UNKNOWN, "it is not known which software version began the stream");
            case VERSION_GONE ->
                giveUp(
                        ResultCode.STREAM_VERSION_GONE,
                        "no upstream of the software version that began the stream serves");
            case GOES_ON -> {}
        }
        return decision.outcome() != StreamResumption.Outcome.GOES_ON;
    }

    /** Runs an attempt with one placement; returns whether the call is finished. */
    private boolean attempt(UpstreamRegistry.Placement placement) {
        double firstTokenMillis = placement.times().firstTokenMillis();
        double excessMillis = firstTokenMillis - USABLE_TIME_FRACTION * remainingMillis();
        if (excessMillis > 0) {
            if (!mayHaveRun() && !isResponseStarted()) {
                share().recordRefused(cost(placement), estimate(placement));
            }
            giveUpWait(
                    ResultCode.DEADLINE_UNREACHABLE,
                    "estimated time to first token is " + Math.round(firstTokenMillis) + " ms",
                    excessMillis);
            return true;
        }
        if (!isResponseStarted() && !share().covers(cost(placement), estimate(placement))) {
            refuseAboveShare(estimate(placement).waitMillis());
            return true;
        }
        Prompt prompt = request().metadata().prompt();
        KvCacheHandle kvCacheHandle = null;
        if (prompt != null && placement.prefill().isPresent()) {
            kvCacheHandle = prefill(placement.prefill().get(), prompt, placement);
            if (kvCacheHandle == null) {
                return isEnded();
            }
            if (isEnded() || endIfQuarantined()) {
                releaseKvCache(kvCacheHandle);
                return true;
            }
        }
        Optional<UpstreamRegistry.Placement> decodable =
                context().registry().placeDecode(placement, service(), filter(excluded));
        if (decodable.isEmpty()) {
            giveUp(ResultCode.NO_UPSTREAM, "no engine can decode after the prefill");
            Optional.ofNullable(kvCacheHandle).ifPresent(this::releaseKvCache);
            return true;
        }
        StreamEnd streamEnd = stream(decodable.get(), prompt, kvCacheHandle);
        return switch (streamEnd) {
            case DONE -> true;
            case NOT_RUN -> isEnded();
            case BROKEN -> isEnded() || !mayResume();
        };
    }

    private double cost(UpstreamRegistry.Placement placement) {
        return context()
                .registry()
                .costOf(placement, service(), request().metadata().prompt());
    }

    private static ShareRequest.Estimate estimate(UpstreamRegistry.Placement placement) {
        PromptPlacement.TimeEstimate times = placement.times();
        double waitMillis = Math.max(0, times.firstTokenMillis() - times.unloadedFirstTokenMillis());
        return new ShareRequest.Estimate(placement.queuedTokens() == 0 ? 0 : waitMillis, times.firstTokenMillis());
    }

    /**
     * Returns whether the next attempt is within the retry budget. The first delivery of a request to an engine is
     * exempt, and so is its first prefill.
     */
    private boolean tryAcquireAttempt(boolean exempt) {
        return exempt || tryAcquireRetry();
    }

    private @Nullable KvCacheHandle prefill(Upstream engine, Prompt prompt, UpstreamRegistry.Placement placement) {
        if (!tryAcquireAttempt(sends == 0)) {
            giveUp(ResultCode.RETRY_BUDGET_EXHAUSTED, "retry budget is exhausted");
            return null;
        }
        sends++;
        long sentAtMillis = nowMillis();
        logSent(
                STEP_PROMPT,
                engine,
                placement.times().firstTokenMillis(),
                placement.queuedTokens(),
                placement.prefillTokens());
        InFlightRequest inFlight = context().registry().startPrefill(engine, prompt, placement);
        try {
            long timeoutMillis = Math.max(1, remainingMillis());
            UpstreamRequestOptions prefillOptions = new UpstreamRequestOptions(
                    engine.id(),
                    callerRemainingMillis(),
                    rank(placement),
                    true,
                    null,
                    prefixSourceAddress(placement),
                    "",
                    request().workspace());
            UpstreamRequest upstreamRequest =
                    prepare(engine, prefillOptions, UpstreamTimeouts.repeatable(timeoutMillis, timeoutMillis), false);
            try (ResponseWatchdog watchdog = new ResponseWatchdog(context(), engine, upstreamRequest);
                    UpstreamResponse response = watchdog.execute()) {
                ResponseMetadata metadata = parseHead(response);
                byte[] body = response.readAll();
                if (metadata.success()) {
                    inFlight.endPrefill(nowMillis());
                    return context().protocol().parseKvCacheHandle(engine.address(), body);
                }
                inFlight.end();
                handleRefusal(engine, metadata);
                deliveredAttempts++;
                logFailed(
                        STEP_PROMPT,
                        inFlight,
                        ResultCode.UPSTREAM_REFUSED,
                        metadata.status(),
                        RunState.NOT_RUN,
                        sentAtMillis,
                        "engine did not run the prefill");
            }
        } catch (WagtailcartException e) {
            if (!isEnded() && !endUnlessUpstreamFailed(inFlight, e, mayHaveRun())) {
                inFlight.end(UpstreamOutcome.NO_RESPONSE, nowMillis());
                excluded.add(engine.id());
                if (e.runState() != RunState.NOT_RUN) {
                    deliveredAttempts++;
                    reportConnectionLost(inFlight);
                }
                logFailed(
                        STEP_PROMPT, inFlight, e.code(), 0, e.runState(), sentAtMillis, String.valueOf(e.getMessage()));
            }
        } finally {
            inFlight.end();
        }
        return null;
    }

    private StreamEnd stream(
            UpstreamRegistry.Placement placement, @Nullable Prompt prompt, @Nullable KvCacheHandle kvCacheHandle) {
        Upstream engine = placement.decode();
        if (!tryAcquireAttempt(deliveredAttempts == 0)) {
            giveUp(ResultCode.RETRY_BUDGET_EXHAUSTED, "retry budget is exhausted");
            if (kvCacheHandle != null) {
                releaseKvCache(kvCacheHandle);
            }
            return StreamEnd.DONE;
        }
        if (kvCacheHandle == null) {
            sends++;
        }
        deliveredAttempts++;
        attemptOrigin = new StreamOrigin(service(), engine.softwareVersion());
        boolean ranBefore = mayHaveRun();
        long sentAtMillis = nowMillis();
        logSent(
                STEP_STREAM,
                engine,
                placement.times().firstTokenMillis(),
                placement.queuedTokens(),
                kvCacheHandle == null ? placement.prefillTokens() : 0);
        InFlightRequest inFlight = startDecodeRequest(placement, prompt, kvCacheHandle != null);
        UpstreamRequestOptions decodeOptions = new UpstreamRequestOptions(
                engine.id(),
                callerRemainingMillis(),
                rank(placement),
                false,
                kvCacheHandle,
                kvCacheHandle == null ? prefixSourceAddress(placement) : null,
                events.lastEventId(),
                request().workspace());
        try {
            UpstreamRequest upstreamRequest = prepare(engine, decodeOptions, streamTimeouts(engine), true);
            runs++;
            lastReadAtMillis = -1;
            try (UpstreamResponse response = upstreamRequest.execute()) {
                ResponseMetadata metadata = parseHead(response);
                return relayStream(inFlight, metadata, response, ranBefore, sentAtMillis);
            }
        } catch (WagtailcartException e) {
            return handleStreamFailure(inFlight, e, ranBefore, sentAtMillis);
        } finally {
            inFlight.end();
        }
    }

    /** Returns the timeouts of a stream. The silence of an engine ends it only if another engine can continue it. */
    private UpstreamTimeouts streamTimeouts(Upstream engine) {
        long remainingMillis = Math.max(1, remainingMillis());
        Set<String> tried = new HashSet<>(excluded);
        tried.add(engine.id());
        boolean canContinue = request().route().retryable()
                && runs + 1 < request().route().maxAttempts()
                && context().registry().hasReplica(service(), filter(tried));
        return timeouts(remainingMillis, canContinue ? MAX_EVENT_GAP_MILLIS : remainingMillis);
    }

    /** Frees a KV cache that no engine will fetch. */
    private void releaseKvCache(KvCacheHandle kvCacheHandle) {
        try {
            UpstreamTimeouts timeouts = UpstreamTimeouts.repeatable(RELEASE_TIMEOUT_MILLIS, RELEASE_TIMEOUT_MILLIS);
            String path = context().protocol().releasePath(kvCacheHandle);
            context()
                    .client()
                    .prepare(
                            "DELETE " + path,
                            ResponseCheck.NONE,
                            kvCacheHandle.engine(),
                            "DELETE",
                            path,
                            List.of(),
                            new byte[0],
                            timeouts)
                    .execute()
                    .close();
        } catch (WagtailcartException e) {
            // The engine frees the KV cache itself after a few seconds.
            LOG.log(Level.DEBUG, "KV cache was not released: " + e.getMessage());
        }
    }

    private InFlightRequest startDecodeRequest(
            UpstreamRegistry.Placement placement, @Nullable Prompt prompt, boolean fromKvCache) {
        UpstreamRegistry registry = context().registry();
        Upstream engine = placement.decode();
        if (fromKvCache) {
            return placement
                    .prefill()
                    .map(prefillEngine -> registry.startDecode(engine, prefillEngine))
                    .orElseGet(() -> registry.startRequest(engine));
        }
        return prompt == null ? registry.startRequest(engine) : registry.startPrefill(engine, prompt, placement);
    }

    /**
     * Excludes an engine that refused the request and takes it out of service for a short time; if it is not the listed
     * instance, until the host list shows the change.
     */
    private void handleRefusal(Upstream engine, ResponseMetadata metadata) {
        excluded.add(engine.id());
        if (metadata.wrongInstance()) {
            context().registry().markMisdirected(engine);
        } else {
            context().registry().markFull(engine);
        }
    }

    private int rank(UpstreamRegistry.Placement placement) {
        return share().rank(rankWithinShare(placement));
    }

    private int rankWithinShare(UpstreamRegistry.Placement placement) {
        if (request().route().targetLatencyMillis() <= 0) {
            return RequestRank.of(request().priority());
        }
        long targetMillis = request().arrivedMillis() + request().route().targetLatencyMillis();
        double slackMillis = targetMillis - nowMillis() - placement.times().unloadedFirstTokenMillis();
        return RequestRank.of(request().priority(), slackMillis);
    }

    private static @Nullable Address prefixSourceAddress(UpstreamRegistry.Placement placement) {
        return placement.prefixSource().map(Upstream::address).orElse(null);
    }

    private StreamEnd relayStream(
            InFlightRequest inFlight,
            ResponseMetadata metadata,
            UpstreamResponse response,
            boolean ranBefore,
            long sentAtMillis) {
        if (metadata.notRun()) {
            markNotRun(ranBefore);
            runs--;
            inFlight.end();
            handleRefusal(inFlight.upstream(), metadata);
            logFailed(
                    STEP_STREAM,
                    inFlight,
                    ResultCode.UPSTREAM_REFUSED,
                    metadata.status(),
                    RunState.NOT_RUN,
                    sentAtMillis,
                    "engine did not run the request");
            return StreamEnd.NOT_RUN;
        }
        String responseType =
                HeaderLines.first(response.headers(), "Content-Type").orElse("");
        boolean continuesOtherContent = isResponseStarted() && !responseType.equals(contentType);
        if (!metadata.success() || !metadata.hasServerStamp() || continuesOtherContent) {
            return relayFailure(inFlight, metadata, response, sentAtMillis);
        }
        events.startContinuation();
        lastReadAtMillis = nowMillis();
        String afterEvent = events.lastEventId();
        boolean complete = false;
        try {
            complete = relayEvents(inFlight, response, responseType);
        } finally {
            logRun(inFlight, afterEvent, response, complete);
        }
        if (!complete || !begin(response, responseType)) {
            return StreamEnd.DONE;
        }
        inFlight.end(UpstreamOutcome.SUCCESS, nowMillis());
        recordCompletion();
        complete(response.status());
        return StreamEnd.DONE;
    }

    /** Relays the events of a response to their end; returns false if the call ended before. */
    private boolean relayEvents(InFlightRequest inFlight, UpstreamResponse response, String responseType) {
        for (byte[] chunk = response.read(); chunk.length > 0; chunk = response.read()) {
            lastReadAtMillis = nowMillis();
            byte[] completeEvents = events.accept(chunk);
            if (completeEvents.length > 0) {
                inFlight.recordFirstOutput();
                if (!begin(response, responseType)) {
                    return false;
                }
                recordBegin();
                write(completeEvents);
                // A caller that reads slowly delays the write; that is no silence of the engine.
                lastReadAtMillis = nowMillis();
            }
            if (isEnded()) {
                return false;
            }
            events.throwFault();
        }
        if (events.hasPartialEvent()) {
            throw new WagtailcartException(ResultCode.STREAM_INCOMPLETE, "stream ended within an event");
        }
        return true;
    }

    /** Logs the events that an upstream sent, and counts those that are not the next ones of the stream. */
    private void logRun(InFlightRequest inFlight, String afterEvent, UpstreamResponse response, boolean complete) {
        SseReassembler.RunEvents run = events.runEvents();
        long afterId = afterEvent.isEmpty() ? -1 : Long.parseLong(afterEvent);
        boolean inOrder = run.isInOrderAfter(afterId);
        if (!inOrder) {
            context().metrics().recordDisorderedRun();
        }
        LogEventKind.STREAM_RUN.log(
                LOG,
                inOrder ? Level.INFO : Level.WARNING,
                request().metadata().requestId(),
                inFlight.upstream().id(),
                inFlight.upstream().softwareVersion(),
                request().metadata().resumes(),
                afterEvent,
                run.firstId(),
                run.lastId(),
                run.repeated(),
                run.unnumbered(),
                response.framing(),
                complete);
    }

    /**
     * Starts the response to the caller with its first event, so that its head and its events are of one upstream as far
     * as possible; returns false if the request has ended.
     */
    private boolean begin(UpstreamResponse response, String responseType) {
        if (isResponseStarted()) {
            return !isEnded();
        }
        contentType = responseType;
        recordOrigin();
        return startResponse(response.status(), response.headers());
    }

    /** Records where the stream began, before its first event is sent to the caller. */
    private void recordOrigin() {
        StreamOrigin began = Objects.requireNonNullElse(origin, attemptOrigin);
        origin = began;
        if (request().route().resumable()) {
            context()
                    .streamOrigins()
                    .record(request().metadata().requestId(), began, request().callerDeadlineMillis());
        }
    }

    /** Records the first event of the response; a stream that continues at another engine has begun before. */
    private void recordBegin() {
        if (!begun) {
            begun = true;
            context().runs().streamBegan(request().workspace(), nowMillis());
        }
    }

    private StreamEnd relayFailure(
            InFlightRequest inFlight, ResponseMetadata metadata, UpstreamResponse response, long sentAtMillis) {
        byte[] body = response.readAll();
        List<String> headers = response.headers();
        inFlight.end(outcomeOf(metadata), nowMillis());
        excluded.add(inFlight.upstream().id());
        logFailed(
                STEP_STREAM,
                inFlight,
                ResultCode.UPSTREAM_FAILED,
                metadata.status(),
                RunState.RAN,
                sentAtMillis,
                "engine returned an error response");
        if (metadata.status() >= 500 && mayResume()) {
            return StreamEnd.BROKEN;
        }
        if (isResponseStarted() || !metadata.hasServerStamp() || NotRunStatuses.notRun(metadata.status())) {
            fail(ResultCode.UPSTREAM_FAILED, "engine returned status " + metadata.status());
        } else {
            sendResponse(metadata.status(), headers, body);
        }
        return StreamEnd.DONE;
    }

    private StreamEnd handleStreamFailure(
            InFlightRequest inFlight, WagtailcartException error, boolean ranBefore, long sentAtMillis) {
        if (isEnded()) {
            recordSilence(inFlight);
            return StreamEnd.DONE;
        }
        if (endUnlessUpstreamFailed(inFlight, error, ranBefore)) {
            return StreamEnd.DONE;
        }
        inFlight.end(UpstreamOutcome.NO_RESPONSE, nowMillis());
        excluded.add(inFlight.upstream().id());
        logFailed(
                STEP_STREAM,
                inFlight,
                error.code(),
                0,
                error.runState(),
                sentAtMillis,
                String.valueOf(error.getMessage()));
        if (error.runState() == RunState.NOT_RUN) {
            markNotRun(ranBefore);
            deliveredAttempts--;
            runs--;
            return StreamEnd.NOT_RUN;
        }
        reportConnectionLost(inFlight);
        if (!mayResume()) {
            fail(error.code(), String.valueOf(error.getMessage()));
        }
        return StreamEnd.BROKEN;
    }

    /** Counts a stream that its caller left, or whose time ended, against an engine that had fallen silent. */
    private void recordSilence(InFlightRequest inFlight) {
        if (lastReadAtMillis >= 0 && nowMillis() - lastReadAtMillis >= MAX_EVENT_GAP_MILLIS) {
            inFlight.end(UpstreamOutcome.NO_RESPONSE, nowMillis());
        }
    }

    private boolean mayResume() {
        return request().route().retryable() && runs < request().route().maxAttempts();
    }

    @Override
    long defaultRetryAfterMillis() {
        return RETRY_AFTER_MILLIS;
    }

    @Override
    void giveUp(ResultCode code, String message, long retryAfterMillis) {
        if (mayHaveRun() || isResponseStarted()) {
            fail(ResultCode.UPSTREAM_FAILED, message);
        } else {
            refuse(code, message, retryAfterMillis);
        }
    }
}
