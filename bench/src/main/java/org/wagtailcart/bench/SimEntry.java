package org.wagtailcart.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.wagtailcart.policy.admission.AdmissionQueue;
import org.wagtailcart.policy.admission.AdmissionResult;
import org.wagtailcart.policy.retry.RetryBudget;
import org.wagtailcart.policy.role.Demand;
import org.wagtailcart.policy.routing.AttemptOutcome;
import org.wagtailcart.policy.routing.RoutableUpstream;
import org.wagtailcart.policy.routing.Router;
import org.wagtailcart.policy.routing.RoutingDecision;

/** Simulated entry: runs the admission, routing and retry code of {@code policy} over a network modelled by delays. */
final class SimEntry {
    private static final int QUEUE_LIMIT = 400;
    private static final int MAX_ATTEMPTS = 4;
    /** Output tokens between two progress updates to the router. */
    private static final int TOKENS_PER_PROGRESS_UPDATE = 16;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Simulation simulation;
    private final EventLoop loop;
    private final String domain;
    private final Router router;
    private final RetryBudget budget = new RetryBudget();
    private final Map<String, AdmissionQueue<SimRequest>> queues = new HashMap<>();
    private double promptTokens;
    private double outputTokens;

    SimEntry(Simulation simulation, String domain, Router router) {
        this.simulation = simulation;
        this.loop = simulation.loop();
        this.domain = domain;
        this.router = router;
        Stream.of("engine", "service").forEach(pool -> queues.put(pool, new AdmissionQueue<>(QUEUE_LIMIT)));
    }

    double latencyMillis(String from, String to) {
        return from.equals(to) ? 0.1 : simulation.deployment().domainLatencyMillis;
    }

    void updateUpstreams(List<RoutableUpstream> upstreams) {
        router.updateUpstreams(upstreams, loop.nowMillis());
        dispatchAll();
    }

    void onLoadReport(String upstreamId, int running, int queued) {
        router.onLoadReport(upstreamId, running, queued, loop.nowMillis());
    }

    /** Refuses queued requests that can no longer meet their deadline. */
    void tick() {
        queues.values().stream()
                .flatMap(queue -> queue.expire(loop.nowMillis()).stream())
                .forEach(request -> refuse(request.item()));
        dispatchAll();
    }

    /** Returns the demand since the last call in tokens per millisecond, given one call per second, and resets it. */
    Demand getAndResetDemand() {
        Demand demand = new Demand(promptTokens / MILLIS_PER_SECOND, outputTokens / MILLIS_PER_SECOND);
        promptTokens = 0;
        outputTokens = 0;
        return demand;
    }

    void onArrival(SimRequest request) {
        budget.onFirstAttempt();
        promptTokens += request.promptTokens;
        outputTokens += request.kind.outputTokens;
        startOrQueue(request, request.startByMillis());
    }

    private void startOrQueue(SimRequest request, long startByMillis) {
        AdmissionQueue<SimRequest> queue = queue(request.pool());
        if (queue.size() == 0 && start(request)) {
            return;
        }
        if (queue.offer(request, request.kind.priority, startByMillis, loop.nowMillis()) != AdmissionResult.QUEUED) {
            refuse(request);
            return;
        }
        dispatchQueued(queue);
    }

    private static void refuse(SimRequest request) {
        request.refused = true;
    }

    private AdmissionQueue<SimRequest> queue(String pool) {
        return queues.computeIfAbsent(pool, unused -> new AdmissionQueue<>(QUEUE_LIMIT));
    }

    private void dispatchAll() {
        queues.values().forEach(this::dispatchQueued);
    }

    private void dispatchQueued(AdmissionQueue<SimRequest> queue) {
        while (queue.size() > 0 && start(queue.peek().orElseThrow().item())) {
            queue.poll(loop.nowMillis());
        }
    }

    private boolean start(SimRequest request) {
        String attemptId = request.id + "/" + request.attempts;
        Optional<RoutingDecision> decision = router.choose(attemptId, request.routing(), loop.nowMillis());
        decision.ifPresent(chosen -> {
            request.attempts++;
            send(attemptId, request, chosen);
        });
        return decision.isPresent();
    }

    private void send(String attemptId, SimRequest request, RoutingDecision route) {
        if (request.kind.forService()) {
            callService(attemptId, request, simulation.service(route.upstreamId()));
            return;
        }
        SimEngine output = simulation.engine(route.upstreamId());
        SimEngine prefill = route.prefillUpstreamId().map(simulation::engine).orElse(null);
        SimAttempt attempt = new SimAttempt(attemptId, request, this, output, loop.now());
        SimEngine first = prefill == null ? output : prefill;
        double latency = latencyMillis(domain, first.domain);
        loop.after(latency, () -> {
            if (!first.submit(attempt)) {
                loop.after(latency, () -> onFailed(attempt, false));
            }
        });
    }

    private void callService(String attemptId, SimRequest request, SimService service) {
        double latency = latencyMillis(domain, service.domain);
        loop.after(
                latency,
                () -> service.call(
                        success -> loop.after(latency, () -> onResponse(attemptId, request, service, success))));
    }

    private void onResponse(String attemptId, SimRequest request, SimService service, boolean success) {
        router.onFinished(attemptId, success ? AttemptOutcome.SUCCESS : AttemptOutcome.FAILURE, loop.nowMillis());
        if (success) {
            request.finishedMillis = loop.now() + simulation.deployment().callerLatencyMillis;
        } else {
            request.triedUpstreams.add(service.id);
            retry(request, true);
        }
        dispatchQueued(queue(request.pool()));
    }

    /** Records an output token of an attempt; returns whether the response is complete. */
    boolean onToken(SimAttempt attempt) {
        SimRequest request = attempt.request;
        double callerMillis = loop.now()
                + latencyMillis(domain, attempt.decodeEngine.domain)
                + simulation.deployment().callerLatencyMillis;
        request.recordToken(callerMillis);
        int generated = request.generatedTokens - attempt.resumedTokens;
        if (generated == 1) {
            router.onFirstToken(attempt.id, loop.nowMillis());
        }
        if (generated % TOKENS_PER_PROGRESS_UPDATE == 0) {
            router.onTokens(attempt.id, TOKENS_PER_PROGRESS_UPDATE, loop.nowMillis());
        }
        if (request.generatedTokens < request.outputTokens) {
            return false;
        }
        attempt.ended = true;
        request.finishedMillis = callerMillis;
        loop.after(0, () -> {
            router.onFinished(attempt.id, AttemptOutcome.SUCCESS, loop.nowMillis());
            dispatchQueued(queue(request.pool()));
        });
        return true;
    }

    /**
     * Records a failed attempt and retries or resumes the request elsewhere when that is allowed.
     *
     * @param mayHaveRun whether an engine may have run the attempt
     */
    void onFailed(SimAttempt attempt, boolean mayHaveRun) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        router.onFinished(attempt.id, mayHaveRun ? AttemptOutcome.FAILURE : AttemptOutcome.REFUSED, loop.nowMillis());
        attempt.request.triedUpstreams.add(attempt.decodeEngine.id);
        retry(attempt.request, mayHaveRun);
    }

    private void retry(SimRequest request, boolean mayHaveRun) {
        boolean allowed = request.attempts < MAX_ATTEMPTS && (request.kind.idempotent() || !mayHaveRun);
        if (allowed && budget.tryAcquire()) {
            long startBy = request.generatedTokens > 0 ? request.deadlineMillis() : request.startByMillis();
            startOrQueue(request, startBy);
        } else {
            request.failed = true;
        }
    }
}
