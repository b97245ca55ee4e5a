package org.wagtailcart.entry.admission;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.Priority;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.entry.admission.Waiting.PoolName;
import org.wagtailcart.entry.request.PoolDirectory;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.policy.routing.AttemptOutcome;
import org.wagtailcart.policy.routing.RoutableUpstream;
import org.wagtailcart.policy.routing.Router;
import org.wagtailcart.policy.routing.RoutingDecision;
import org.wagtailcart.policy.routing.RoutingRequest;

/**
 * Serialises access to the router and holds the requests for which no upstream has room, per pool and priority. Decisions
 * are delivered on the executor of each request, outside the lock.
 */
public final class Dispatch {
    private static final int DEFAULT_QUEUE_LIMIT = 1_000;

    private final Router router;
    private final Admission admission;
    private final MillisClock clock;
    private final Map<PoolName, Map<Priority, Deque<Waiting>>> queues = new HashMap<>();
    private final Map<String, PoolName> poolByAttempt = new HashMap<>();
    private Map<PoolName, Set<String>> upstreams = Map.of();
    private PoolDirectory directory;

    /** Creates a dispatch without upstreams. */
    public Dispatch(Router router, Admission admission, MillisClock clock, PoolDirectory directory) {
        this.router = router;
        this.admission = admission;
        this.clock = clock;
        this.directory = directory;
    }

    /** Installs settings and the upstreams that take new work. */
    public synchronized void update(PoolDirectory pools, Collection<UpstreamView> views) {
        directory = pools;
        List<RoutableUpstream> routable = views.stream()
                .filter(UpstreamView::acceptsNewRequests)
                .flatMap(view -> routable(view).stream())
                .toList();
        upstreams = views.stream()
                .filter(UpstreamView::acceptsNewRequests)
                .filter(view -> PoolDirectory.poolOf(view).isPresent())
                .collect(Collectors.groupingBy(
                        Dispatch::poolName, Collectors.mapping(UpstreamView::upstreamId, Collectors.toSet())));
        router.updateUpstreams(routable, clock.nowMillis());
        pumpAll();
    }

    /** Tries the waiting requests again; the router may take them by time alone, as when an ejected upstream returns. */
    public synchronized void pumpAll() {
        List.copyOf(queues.keySet()).forEach(this::pump);
    }

    /** Routes a request now, lets it wait, or refuses it. */
    public synchronized void submit(Waiting waiting) {
        Waiting usable = withoutExhaustedExclusions(waiting);
        PoolName pool = waiting.pool();
        if (waiting.early() && upstreams.getOrDefault(pool, Set.of()).isEmpty()) {
            reject(waiting, ResultCode.NO_UPSTREAM);
            return;
        }
        if (nothingAhead(usable) && tryRoute(usable)) {
            return;
        }
        Optional<ResultCode> refusal = waiting.early()
                ? admission.mayWait(
                        pool.key(),
                        waiting.request().priority(),
                        counts(pool),
                        queueLimit(pool),
                        waiting.request().deadlineMillis(),
                        clock.nowMillis())
                : Optional.empty();
        refusal.ifPresentOrElse(
                code -> reject(waiting, code),
                () -> queue(pool, waiting.request().priority()).add(usable));
    }

    /** Removes a request that no longer waits for a route. A route that was already given must be finished instead. */
    public synchronized void cancel(String attemptId) {
        queues.values().stream()
                .flatMap(byPriority -> byPriority.values().stream())
                .forEach(queue -> queue.removeIf(waiting -> waiting.attemptId().equals(attemptId)));
    }

    /** Notes the first token of an attempt. */
    public synchronized void firstToken(String attemptId) {
        router.onFirstToken(attemptId, clock.nowMillis());
    }

    /** Notes tokens of an attempt. */
    public synchronized void tokens(String attemptId, int tokens) {
        router.onTokens(attemptId, tokens, clock.nowMillis());
    }

    /** Notes the end of an attempt, which may make room for a waiting request. */
    public synchronized void finished(String attemptId, AttemptOutcome outcome) {
        PoolName pool = poolByAttempt.remove(attemptId);
        if (pool != null) {
            router.onFinished(attemptId, outcome, clock.nowMillis());
            admission.onFinished(pool.key(), clock.nowMillis());
            pump(pool);
        }
    }

    /** Corrects the accounting with the load that an end marker stated. */
    public synchronized void loadReport(String upstreamId, int running, int queued) {
        router.onLoadReport(upstreamId, running, queued, clock.nowMillis());
    }

    /** Returns the number of waiting requests. */
    public synchronized int waiting() {
        return queues.values().stream()
                .flatMap(byPriority -> byPriority.values().stream())
                .mapToInt(Deque::size)
                .sum();
    }

    /** Returns the number of attempts that hold a route. */
    public synchronized int routed() {
        return poolByAttempt.size();
    }

    private boolean tryRoute(Waiting waiting) {
        RoutingRequest request = waiting.request();
        RoutingRequest poolRequest = new RoutingRequest(
                waiting.pool().key(),
                request.priority(),
                request.promptTokens(),
                request.outputTokens(),
                request.prefixHashes(),
                request.deadlineMillis(),
                request.excluded());
        Optional<RoutingDecision> route = router.choose(waiting.attemptId(), poolRequest, clock.nowMillis());
        route.ifPresent(chosen -> {
            poolByAttempt.put(waiting.attemptId(), waiting.pool());
            deliver(waiting, () -> waiting.receiver().onRoute(chosen));
        });
        return route.isPresent();
    }

    private void pump(PoolName pool) {
        Map<Priority, Integer> counts = counts(pool);
        boolean routed = true;
        while (routed && counts.values().stream().anyMatch(count -> count > 0)) {
            Deque<Waiting> queue = queue(pool, admission.next(pool.key(), counts));
            Waiting first = withoutExhaustedExclusions(queue.getFirst());
            routed = tryRoute(first);
            if (routed) {
                queue.removeFirst();
            }
            counts = counts(pool);
        }
    }

    /** A request that has tried every upstream of its pool may try them again. */
    private Waiting withoutExhaustedExclusions(Waiting waiting) {
        RoutingRequest request = waiting.request();
        if (!request.excluded().containsAll(upstreams.getOrDefault(waiting.pool(), Set.of()))) {
            return waiting;
        }
        RoutingRequest open = new RoutingRequest(
                request.pool(),
                request.priority(),
                request.promptTokens(),
                request.outputTokens(),
                request.prefixHashes(),
                request.deadlineMillis(),
                Set.of());
        return new Waiting(
                waiting.attemptId(), waiting.kind(), open, waiting.early(), waiting.executor(), waiting.receiver());
    }

    private boolean nothingAhead(Waiting waiting) {
        int rank = waiting.request().priority().rank();
        return counts(waiting.pool()).entrySet().stream()
                .allMatch(entry -> entry.getKey().rank() < rank || entry.getValue() == 0);
    }

    private void reject(Waiting waiting, ResultCode code) {
        deliver(waiting, () -> waiting.receiver().onRejected(code));
    }

    private void deliver(Waiting waiting, Runnable decision) {
        try {
            waiting.executor().execute(decision);
        } catch (RejectedExecutionException e) {
            // The connection's thread has ended with the process; nobody waits for the decision.
            poolByAttempt.remove(waiting.attemptId());
        }
    }

    private Map<Priority, Integer> counts(PoolName pool) {
        return queues.getOrDefault(pool, Map.of()).entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> entry.getValue().size()));
    }

    private Deque<Waiting> queue(PoolName pool, Priority priority) {
        Function<Priority, Deque<Waiting>> empty = absent -> new ArrayDeque<>();
        return queues.computeIfAbsent(pool, absent -> new EnumMap<>(Priority.class))
                .computeIfAbsent(priority, empty);
    }

    private int queueLimit(PoolName pool) {
        return directory
                .poolSetting(pool.kind(), pool.name(), "queue-limit")
                .filter(text -> text.matches("[0-9]{1,6}"))
                .map(Integer::parseInt)
                .orElse(DEFAULT_QUEUE_LIMIT);
    }

    private static PoolName poolName(UpstreamView view) {
        return new PoolName(view.kind(), PoolDirectory.poolOf(view).orElse(""));
    }

    private static Optional<RoutableUpstream> routable(UpstreamView view) {
        EngineRole role =
                Optional.ofNullable(view.target()).map(EngineTarget::role).orElse(EngineRole.MIXED);
        return PoolDirectory.poolOf(view)
                .map(name -> new RoutableUpstream(
                        view.upstreamId(),
                        new PoolName(view.kind(), name).key(),
                        view.failureDomain(),
                        view.kind() == UpstreamKind.ENGINE ? role : EngineRole.MIXED,
                        view.maxInFlight()));
    }
}
