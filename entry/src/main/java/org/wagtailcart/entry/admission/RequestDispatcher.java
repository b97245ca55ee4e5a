package org.wagtailcart.entry.admission;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.stream.Collectors;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.Priority;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.entry.admission.PendingRequest.PoolId;
import org.wagtailcart.entry.request.PoolDirectory;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.policy.routing.AttemptOutcome;
import org.wagtailcart.policy.routing.RoutableUpstream;
import org.wagtailcart.policy.routing.Router;
import org.wagtailcart.policy.routing.RoutingDecision;
import org.wagtailcart.policy.routing.RoutingRequest;

/**
 * Dispatcher of requests to the router: serialises access to the router and queues the requests for which no upstream
 * has capacity, by pool and priority, and within these by the weights of workspaces. Decisions are delivered on the
 * executor of each request, outside the lock.
 */
public final class RequestDispatcher {
    private static final int DEFAULT_QUEUE_LIMIT = 1_000;

    private final Router router;
    private final AdmissionController admission;
    private final MillisClock clock;
    private final Map<PoolId, Map<Priority, WeightedQueue>> queues = new HashMap<>();
    private final Map<String, PoolId> poolByAttempt = new HashMap<>();
    private Map<PoolId, Set<String>> upstreamIdsByPool = Map.of();
    private PoolDirectory directory;

    /** Creates a dispatcher without upstreams. */
    public RequestDispatcher(Router router, AdmissionController admission, MillisClock clock, PoolDirectory directory) {
        this.router = router;
        this.admission = admission;
        this.clock = clock;
        this.directory = directory;
    }

    /** Installs the settings and the upstreams that accept new requests, and dispatches the queued requests. */
    public synchronized void update(PoolDirectory pools, Collection<UpstreamView> views) {
        directory = pools;
        List<RoutableUpstream> routable = views.stream()
                .filter(UpstreamView::acceptsNewRequests)
                .flatMap(view -> routable(view).stream())
                .toList();
        upstreamIdsByPool = views.stream()
                .filter(UpstreamView::acceptsNewRequests)
                .filter(view -> PoolDirectory.poolOf(view).isPresent())
                .collect(Collectors.groupingBy(
                        RequestDispatcher::poolName, Collectors.mapping(UpstreamView::upstreamId, Collectors.toSet())));
        router.updateUpstreams(routable, clock.nowMillis());
        dispatchQueued();
    }

    /**
     * Routes the queued requests for which an upstream has capacity. Capacity may return by the passage of time alone,
     * as when the ejection of an upstream ends.
     */
    public synchronized void dispatchQueued() {
        List.copyOf(queues.keySet()).forEach(this::dispatchQueuedOf);
    }

    /** Routes a request at once, queues it, or rejects it. */
    public synchronized void submit(PendingRequest pending) {
        PendingRequest effective = withoutExhaustedExclusions(pending);
        PoolId pool = pending.pool();
        if (pending.subjectToAdmission()
                && upstreamIdsByPool.getOrDefault(pool, Set.of()).isEmpty()) {
            reject(pending, ResultCode.NO_UPSTREAM);
            return;
        }
        if (noneQueuedAhead(effective) && tryRoute(effective)) {
            return;
        }
        Optional<ResultCode> rejection = pending.subjectToAdmission()
                ? admission.rejectionOf(
                        pool.key(),
                        pending.request().priority(),
                        queuedByPriority(pool),
                        queueLimit(pool),
                        pending.request().deadlineMillis(),
                        clock.nowMillis())
                : Optional.empty();
        rejection.ifPresentOrElse(
                code -> reject(pending, code),
                () -> queue(pool, pending.request().priority()).add(effective));
    }

    /**
     * Removes a request from the queue. A route that was already assigned must be ended with {@link #onFinished}
     * instead.
     */
    public synchronized void cancel(String attemptId) {
        queues.values().stream()
                .flatMap(byPriority -> byPriority.values().stream())
                .forEach(queue -> queue.removeIf(pending -> pending.attemptId().equals(attemptId)));
    }

    /** Records the first token of an attempt. */
    public synchronized void onFirstToken(String attemptId) {
        router.onFirstToken(attemptId, clock.nowMillis());
    }

    /** Records output tokens of an attempt. */
    public synchronized void onTokens(String attemptId, int tokens) {
        router.onTokens(attemptId, tokens, clock.nowMillis());
    }

    /** Records the end of an attempt and dispatches queued requests to the freed capacity. */
    public synchronized void onFinished(String attemptId, AttemptOutcome outcome) {
        PoolId pool = poolByAttempt.remove(attemptId);
        if (pool != null) {
            router.onFinished(attemptId, outcome, clock.nowMillis());
            admission.onFinished(pool.key(), clock.nowMillis());
            dispatchQueuedOf(pool);
        }
    }

    /** Corrects the load accounting of an upstream by the load that an end marker reports. */
    public synchronized void onLoadReport(String upstreamId, int running, int queued) {
        router.onLoadReport(upstreamId, running, queued, clock.nowMillis());
    }

    /** Returns the number of queued requests. */
    public synchronized int queuedCount() {
        return queues.values().stream()
                .flatMap(byPriority -> byPriority.values().stream())
                .mapToInt(WeightedQueue::size)
                .sum();
    }

    /** Returns the number of attempts to which a route is assigned. */
    public synchronized int routedCount() {
        return poolByAttempt.size();
    }

    private boolean tryRoute(PendingRequest pending) {
        RoutingRequest request = pending.request();
        RoutingRequest poolRequest = new RoutingRequest(
                pending.pool().key(),
                request.priority(),
                request.promptTokens(),
                request.outputTokens(),
                request.prefixHashes(),
                request.deadlineMillis(),
                request.excluded());
        Optional<RoutingDecision> route = router.choose(pending.attemptId(), poolRequest, clock.nowMillis());
        route.ifPresent(chosen -> {
            poolByAttempt.put(pending.attemptId(), pending.pool());
            deliver(pending, () -> pending.listener().onRoute(chosen));
        });
        return route.isPresent();
    }

    private void dispatchQueuedOf(PoolId pool) {
        Map<Priority, Integer> counts = queuedByPriority(pool);
        boolean routed = true;
        while (routed && counts.values().stream().anyMatch(count -> count > 0)) {
            WeightedQueue queue = queue(pool, admission.nextPriority(pool.key(), counts));
            PendingRequest next = queue.next(directory.weights());
            routed = tryRoute(withoutExhaustedExclusions(next));
            if (routed) {
                queue.remove(next, directory.weights());
            }
            counts = queuedByPriority(pool);
        }
    }

    /** Clears the exclusions of a request that excludes every upstream of its pool, so that it may try them again. */
    private PendingRequest withoutExhaustedExclusions(PendingRequest pending) {
        RoutingRequest request = pending.request();
        if (!request.excluded().containsAll(upstreamIdsByPool.getOrDefault(pending.pool(), Set.of()))) {
            return pending;
        }
        RoutingRequest unrestricted = new RoutingRequest(
                request.pool(),
                request.priority(),
                request.promptTokens(),
                request.outputTokens(),
                request.prefixHashes(),
                request.deadlineMillis(),
                Set.of());
        return new PendingRequest(
                pending.attemptId(),
                pending.workspace(),
                pending.kind(),
                unrestricted,
                pending.subjectToAdmission(),
                pending.executor(),
                pending.listener());
    }

    private boolean noneQueuedAhead(PendingRequest pending) {
        int rank = pending.request().priority().rank();
        return queuedByPriority(pending.pool()).entrySet().stream()
                .allMatch(entry -> entry.getKey().rank() < rank || entry.getValue() == 0);
    }

    private void reject(PendingRequest pending, ResultCode code) {
        deliver(pending, () -> pending.listener().onRejected(code));
    }

    private void deliver(PendingRequest pending, Runnable decision) {
        try {
            pending.executor().execute(decision);
        } catch (RejectedExecutionException e) {
            // The connection's I/O thread has ended with the process, so the decision has no receiver.
            poolByAttempt.remove(pending.attemptId());
        }
    }

    private Map<Priority, Integer> queuedByPriority(PoolId pool) {
        return queues.getOrDefault(pool, Map.of()).entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> entry.getValue().size()));
    }

    private WeightedQueue queue(PoolId pool, Priority priority) {
        return queues.computeIfAbsent(pool, absent -> new EnumMap<>(Priority.class))
                .computeIfAbsent(priority, absent -> new WeightedQueue());
    }

    private int queueLimit(PoolId pool) {
        return directory
                .poolSetting(pool.kind(), pool.name(), "queue-limit")
                .filter(text -> text.matches("[0-9]{1,6}"))
                .map(Integer::parseInt)
                .orElse(DEFAULT_QUEUE_LIMIT);
    }

    private static PoolId poolName(UpstreamView view) {
        return new PoolId(view.kind(), PoolDirectory.poolOf(view).orElse(""));
    }

    private static Optional<RoutableUpstream> routable(UpstreamView view) {
        EngineRole role =
                Optional.ofNullable(view.target()).map(EngineTarget::role).orElse(EngineRole.MIXED);
        return PoolDirectory.poolOf(view)
                .map(name -> new RoutableUpstream(
                        view.upstreamId(),
                        new PoolId(view.kind(), name).key(),
                        view.failureDomain(),
                        view.kind() == UpstreamKind.ENGINE ? role : EngineRole.MIXED,
                        view.maxInFlight()));
    }
}
