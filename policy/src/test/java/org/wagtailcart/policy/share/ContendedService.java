package org.wagtailcart.policy.share;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.wagtailcart.policy.placement.RequestRank;

/**
 * Loop over the requests of one run at a service of a few engines that each prefill one prompt at a time. Gateways
 * choose the shortest queue, refuse what would miss its deadline, and exchange reports with a leader every 250 ms.
 * Callers repeat a refused request once.
 */
final class ContendedService {
    static final int ENGINES = 3;
    /** Engine time for each second. */
    static final double CAPACITY = 1_000.0 * ENGINES;

    private static final int GATEWAYS = 8;
    private static final long FAULT_MILLIS = 10_000;
    private static final long SHORTEST_TARGET_MILLIS = 500;
    private static final long POLL_MILLIS = 250;
    private static final long REPLY_DELAY_MILLIS = 20;
    private static final long DEFAULT_RETRY_MILLIS = 250;
    private static final double BUCKET_SECONDS = 2;

    /** What decides on requests before they are sent. */
    enum Policy {
        NO_SHARES,
        TOKEN_BUCKETS,
        SHARES
    }

    /** What fails in the middle of a run; the loads last 30 s. */
    enum Fault {
        NONE,
        /** Two of eight gateways get no replies and their reports do not arrive. */
        GATEWAYS_CUT_OFF,
        /** Another member becomes the leader. */
        LEADER_CHANGE,
        /** All gateways and the leader start anew. */
        RESTART
    }

    /** Kind of request; the deadline is 2.5 times its target. */
    record Kind(String name, double cost, long targetMillis, int priority) {
        static final List<Kind> ALL =
                List.of(new Kind("long", 101, 1_500, 2), new Kind("medium", 79, 600, 1), new Kind("short", 30, 500, 0));
    }

    /** A request of a caller; it is repeated at most once. */
    record Arrival(long firstMillis, long atMillis, String workspace, Kind kind, boolean repeated) {
        long leftMillis() {
            return firstMillis + 5 * kind.targetMillis() / 2 - atMillis;
        }
    }

    /** Shares of the requests or of the fair cost that are served in time. */
    record Score(double goodput, double worstTenth, double worstKind) {
        @Override
        public String toString() {
            return String.format("goodput %.3f, worst tenth %.3f, worst kind %.3f", goodput, worstTenth, worstKind);
        }
    }

    private record Queued(Arrival arrival, int rank, long number) {}

    private static final class Engine {
        private final PriorityQueue<Queued> queue =
                new PriorityQueue<>(Comparator.comparing(Queued::rank).thenComparing(Queued::number));
        private double queuedCost;
        private double freeAtMillis;

        double waitMillis(long nowMillis) {
            return queuedCost + Math.max(0, freeAtMillis - nowMillis);
        }
    }

    private final Policy policy;
    private final Fault fault;
    private final List<Engine> engines =
            IntStream.range(0, ENGINES).mapToObj(i -> new Engine()).toList();
    private final List<ShareLimiter> limiters = IntStream.range(0, GATEWAYS)
            .mapToObj(i -> new ShareLimiter("g" + i))
            .collect(Collectors.toCollection(ArrayList::new));
    private final List<DemandMeter> meters = IntStream.range(0, GATEWAYS)
            .mapToObj(i -> new DemandMeter())
            .collect(Collectors.toCollection(ArrayList::new));
    private ShareCalculator leader = new ShareCalculator();
    private final Map<String, Double> buckets = new HashMap<>();
    private final Map<String, Long> bucketAtMillis = new HashMap<>();
    private final double bucketRate;
    private final PriorityQueue<Arrival> arrivals = new PriorityQueue<>(Comparator.comparing(Arrival::atMillis));
    private final List<Arrival> inTime = new ArrayList<>();
    private final Random random = new Random(7);
    private Map<String, Integer> weights = Map.of();
    private long numbers;

    private ContendedService(Policy policy, Fault fault, List<Arrival> load) {
        this.policy = policy;
        this.fault = fault;
        this.bucketRate =
                CAPACITY / load.stream().map(Arrival::workspace).distinct().count();
        arrivals.addAll(load);
    }

    /** Returns the score of a policy for the requests that arrive from a time on. */
    static Score run(Policy policy, Fault fault, List<Arrival> load, long fromMillis) {
        ContendedService service = new ContendedService(policy, fault, load);
        long endMillis = load.stream().mapToLong(Arrival::atMillis).max().orElse(0) + 5_000;
        for (long now = 0; now < endMillis; now++) {
            service.step(now);
        }
        return service.score(load, fromMillis, endMillis - 5_000);
    }

    /** Returns the cost that a policy serves in time for each workspace, of the requests that arrive from a time on. */
    static Map<String, Double> servedCosts(
            Map<String, Integer> weights, Fault fault, List<Arrival> load, long fromMillis) {
        ContendedService service = new ContendedService(Policy.SHARES, fault, load);
        service.weights = weights;
        service.applyWeights();
        long endMillis = load.stream().mapToLong(Arrival::atMillis).max().orElse(0);
        for (long now = 0; now < endMillis; now++) {
            service.step(now);
        }
        return costs(service.inTime.stream()
                .filter(arrival -> arrival.firstMillis() >= fromMillis)
                .toList());
    }

    private void applyWeights() {
        leader.weights(weights);
        limiters.forEach(limiter -> limiter.weights(weights));
    }

    private void step(long nowMillis) {
        fail(nowMillis);
        engines.forEach(engine -> work(engine, nowMillis));
        while (!arrivals.isEmpty() && arrivals.peek().atMillis() <= nowMillis) {
            handle(arrivals.remove(), nowMillis);
        }
        if (nowMillis % POLL_MILLIS == 0) {
            List<List<WorkspaceDemand>> demand =
                    meters.stream().map(meter -> meter.demand(nowMillis)).toList();
            IntStream.range(0, GATEWAYS).forEach(i -> limiters.get(i).observe(() -> demand.get(i), nowMillis));
            leader.observe(
                    demand.stream()
                            .limit(connectedGateways(nowMillis))
                            .flatMap(List::stream)
                            .toList(),
                    nowMillis);
        }
        if (nowMillis % POLL_MILLIS == REPLY_DELAY_MILLIS && leader.warmedUp(nowMillis)) {
            limiters.subList(0, connectedGateways(nowMillis))
                    .forEach(limiter ->
                            limiter.applyShares(leader.contended(nowMillis), leader.shares(nowMillis), nowMillis));
        }
    }

    private void work(Engine engine, long nowMillis) {
        while (engine.freeAtMillis <= nowMillis && !engine.queue.isEmpty()) {
            Arrival arrival = engine.queue.remove().arrival();
            engine.queuedCost -= arrival.kind().cost();
            if (nowMillis > arrival.atMillis() + arrival.leftMillis()) {
                continue;
            }
            engine.freeAtMillis =
                    Math.max(engine.freeAtMillis, nowMillis) + arrival.kind().cost();
            if (engine.freeAtMillis <= arrival.firstMillis() + arrival.kind().targetMillis()) {
                inTime.add(arrival);
            }
        }
    }

    private void handle(Arrival arrival, long nowMillis) {
        Engine engine = engines.stream()
                .min(Comparator.comparing((Engine each) -> each.waitMillis(nowMillis)))
                .orElseThrow();
        int gateway = random.nextInt(GATEWAYS);
        double waitMillis = engine.waitMillis(nowMillis);
        double estimateMillis = waitMillis + arrival.kind().cost();
        long targetMillis = arrival.firstMillis() + arrival.kind().targetMillis() - nowMillis;
        ShareRequest request = ShareRequest.of(
                "s",
                arrival.workspace(),
                arrival.kind().cost(),
                new ShareRequest.Estimate(waitMillis, estimateMillis),
                targetMillis,
                SHORTEST_TARGET_MILLIS);
        double excessMillis = estimateMillis - 0.9 * arrival.leftMillis();
        ShareLimiter.Decision decision =
                excessMillis > 0 ? ShareLimiter.Decision.REFUSE : decide(request, limiters.get(gateway), nowMillis);
        if (decision == ShareLimiter.Decision.REFUSE) {
            meters.get(gateway).recordRefused("s", request.workspace(), request.cost(), nowMillis);
            repeat(arrival, Math.max(excessMillis, estimateMillis - targetMillis), nowMillis);
            return;
        }
        meters.get(gateway).recordAdmitted("s", request.workspace(), request.cost(), request.late(), nowMillis);
        int rank = RequestRank.of(
                arrival.kind().priority(), targetMillis - arrival.kind().cost());
        engine.queue.add(new Queued(
                arrival, decision == ShareLimiter.Decision.ADMIT ? rank : RequestRank.lower(rank), numbers++));
        engine.queuedCost += arrival.kind().cost();
    }

    private void fail(long nowMillis) {
        if (nowMillis != FAULT_MILLIS) {
            return;
        }
        if (fault == Fault.LEADER_CHANGE || fault == Fault.RESTART) {
            leader = new ShareCalculator();
        }
        if (fault == Fault.RESTART) {
            limiters.replaceAll(limiter -> new ShareLimiter("restarted-" + limiters.indexOf(limiter)));
            meters.replaceAll(meter -> new DemandMeter());
        }
        applyWeights();
    }

    private int connectedGateways(long nowMillis) {
        return fault == Fault.GATEWAYS_CUT_OFF && nowMillis >= FAULT_MILLIS ? GATEWAYS - 2 : GATEWAYS;
    }

    private ShareLimiter.Decision decide(ShareRequest request, ShareLimiter limiter, long nowMillis) {
        return switch (policy) {
            case NO_SHARES -> ShareLimiter.Decision.ADMIT;
            case TOKEN_BUCKETS ->
                takeTokens(request, nowMillis) ? ShareLimiter.Decision.ADMIT : ShareLimiter.Decision.REFUSE;
            case SHARES -> limiter.decide(request, GATEWAYS, nowMillis);
        };
    }

    private boolean takeTokens(ShareRequest request, long nowMillis) {
        String workspace = request.workspace();
        double most = Math.max(BUCKET_SECONDS * bucketRate, request.cost());
        double earned = bucketRate * (double) (nowMillis - bucketAtMillis.getOrDefault(workspace, 0L)) / 1_000;
        double tokens = Math.min(most, buckets.getOrDefault(workspace, most) + earned);
        boolean enough = tokens >= request.cost();
        buckets.put(workspace, enough ? tokens - request.cost() : tokens);
        bucketAtMillis.put(workspace, nowMillis);
        return enough;
    }

    private void repeat(Arrival arrival, double excessMillis, long nowMillis) {
        long leftMillis = arrival.leftMillis();
        long afterMillis = policy == Policy.SHARES
                ? RetryAfter.millis(excessMillis, leftMillis, random.nextDouble(), DEFAULT_RETRY_MILLIS)
                : DEFAULT_RETRY_MILLIS;
        if (!arrival.repeated() && afterMillis <= leftMillis / 3) {
            arrivals.add(new Arrival(
                    arrival.firstMillis(), nowMillis + afterMillis, arrival.workspace(), arrival.kind(), true));
        }
    }

    private Score score(List<Arrival> load, long fromMillis, long toMillis) {
        List<Arrival> counted = load.stream()
                .filter(arrival -> arrival.firstMillis() >= fromMillis)
                .toList();
        List<Arrival> served = inTime.stream()
                .filter(arrival -> arrival.firstMillis() >= fromMillis)
                .toList();
        Map<String, Double> asked = costs(counted);
        Map<String, Double> done = costs(served);
        double capacity = CAPACITY * (toMillis - fromMillis) / 1_000;
        double level = FairShare.level(
                capacity,
                asked.entrySet().stream()
                        .map(entry -> new FairShare.Claim(entry.getKey(), entry.getValue(), 1))
                        .toList());
        double worstTenth = asked.entrySet().stream()
                .map(entry -> Math.min(1, done.getOrDefault(entry.getKey(), 0.0) / Math.min(level, entry.getValue())))
                .sorted()
                .limit(Math.max(1, asked.size() / 10))
                .mapToDouble(Double::doubleValue)
                .average()
                .orElseThrow();
        double worstKind = Kind.ALL.stream()
                .filter(kind -> count(counted, kind) > 0)
                .mapToDouble(kind -> count(served, kind) / count(counted, kind))
                .min()
                .orElseThrow();
        return new Score(served.size() / (double) counted.size(), worstTenth, worstKind);
    }

    private static double count(List<Arrival> arrivals, Kind kind) {
        return arrivals.stream().filter(arrival -> arrival.kind().equals(kind)).count();
    }

    private static Map<String, Double> costs(List<Arrival> arrivals) {
        ToDoubleFunction<Arrival> cost = arrival -> arrival.kind().cost();
        return arrivals.stream().collect(Collectors.groupingBy(Arrival::workspace, Collectors.summingDouble(cost)));
    }
}
