package org.wagtailcart.policy.capacity;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Plans the number of replicas of one service in each failure domain. Replicas are added for the demand expected when
 * they can serve, and removed only after they were superfluous for the hold time. Not thread safe.
 */
public final class ReplicaCountPlanner {
    /**
     * Cost of work that is late against the cost of the replica time that it needs. An assumption, because the platform
     * states no prices: at 20, about one second in 20 may need more than the replicas that are ordered.
     */
    private static final double LATE_COST_RATIO = 20;
    /** Standard deviations that a normal variable stays below with probability LATE_COST_RATIO / (LATE_COST_RATIO + 1). */
    private static final double MARGIN_DEVIATIONS = 1.67;
    /**
     * Share of the boot time during which a replica that was removed too early is missing, if its demand returns
     * linearly over the boot time.
     */
    private static final double MISSING_SHARE = 0.5;
    /** Shortest period of the trend; demand is measured over seconds, and a line needs several samples. */
    private static final long MIN_TREND_MILLIS = 5_000;
    /**
     * Boot times for which a crest bounds the trend. Within a time shorter than the fall from a crest it is not
     * recognized, and within a longer one a ramp after a wave is not anticipated.
     */
    private static final int CREST_BOOT_TIMES = 4;
    /** Standard deviations below an earlier demand at which it was a crest; noise alone is seldom so far below. */
    private static final double CREST_DEVIATIONS = 2;

    private final ReplicaLimits limits;
    private final Deque<Sample> samples = new ArrayDeque<>();
    private final Map<String, Order> ordersByDomain = new HashMap<>();

    /**
     * Demand at a time.
     *
     * @param level demand without its noise
     * @param expected demand that was expected one boot time later, 0 if no rise beyond the held replicas was expected
     */
    private record Sample(DemandTrend.Sample demand, double level, double expected) {
        long atMillis() {
            return demand.atMillis();
        }
    }

    /**
     * Last planned number of a domain.
     *
     * @param serving replicas that served when the domain last made progress
     * @param failedFromMillis time from which a domain without progress cannot be expected to reach the number
     */
    private record Order(int replicas, int serving, long failedFromMillis) {}

    /** Creates a planner that knows no demand. */
    public ReplicaCountPlanner(ReplicaLimits limits) {
        this.limits = limits;
    }

    /**
     * Returns the number of replicas to order by failure domain. A domain is absent if no number within the limits is
     * safe for the requests that run there.
     */
    public Map<String, Integer> plan(CapacityObservation observation) {
        Map<String, Integer> wanted = wanted(observation);
        boolean mayShrink = mayShrink(observation.nowMillis());
        Map<String, Integer> planned = new TreeMap<>();
        observation.domains().forEach(domain -> {
            int lowest = lowest(domain, observation.slotsPerReplica(), mayShrink);
            if (lowest <= limits.max()) {
                planned.put(domain.domain(), Math.max(lowest, wanted.getOrDefault(domain.domain(), limits.min())));
            }
        });
        recordOrders(observation, planned);
        return planned;
    }

    /** Returns the numbers that the demand requires; nothing if it is unknown, which forgets the earlier demand. */
    private Map<String, Integer> wanted(CapacityObservation observation) {
        if (observation.demandSlots().isEmpty() || observation.slotsPerReplica() <= 0) {
            samples.clear();
            return Map.of();
        }
        record(observation, observation.demandSlots().getAsDouble());
        int total = totalReplicas(observation);
        Map<String, Integer> wanted = spread(total, observation.domains(), domain -> limits.max());
        // A failed domain keeps its order, and the others take over what it cannot serve.
        spread(total, observation.domains(), domain -> reachable(domain, observation.nowMillis()))
                .forEach((domain, replicas) -> wanted.merge(domain, replicas, Math::max));
        return wanted;
    }

    private void record(CapacityObservation observation, double demandSlots) {
        long nowMillis = observation.nowMillis();
        DemandTrend.Sample latest = new DemandTrend.Sample(nowMillis, demandSlots);
        long trendFromMillis = nowMillis - Math.max(MIN_TREND_MILLIS, limits.bootMillis());
        List<DemandTrend.Sample> recent = Stream.concat(samples.stream().map(Sample::demand), Stream.of(latest))
                .filter(sample -> sample.atMillis() >= trendFromMillis)
                .toList();
        DemandTrend trend = DemandTrend.fit(recent);
        // Replicas are held for a rise up to the earlier peak. Extrapolating each wave, or a crest that exceeds the
        // peak only by the variation of independent requests, would add replicas that are removed soon after.
        double peak = samples.stream()
                .filter(sample -> sample.atMillis() < trendFromMillis)
                .mapToDouble(Sample::level)
                .max()
                .orElse(0);
        boolean extrapolate = trend.level() > peak + Math.sqrt(peak)
                && !crestSince(nowMillis - CREST_BOOT_TIMES * limits.bootMillis());
        samples.add(new Sample(latest, trend.sustained(), extrapolate ? trend.after(limits.bootMillis()) : 0));
        // One sample older than the hold time remains as proof that the whole of it was observed.
        while (samples.size() > 1
                && samples.stream().skip(1).findFirst().orElseThrow().atMillis() <= nowMillis - holdMillis()) {
            samples.remove();
        }
    }

    /** Returns whether the demand has fallen since a time, so that a rise is taken for that of a wave. */
    private boolean crestSince(long fromMillis) {
        double highest = 0;
        for (Sample sample : samples) {
            if (sample.atMillis() >= fromMillis) {
                highest = Math.max(highest, sample.level());
                if (sample.level() < highest - CREST_DEVIATIONS * Math.sqrt(highest)) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns the replicas for the peak of the hold time, for the variation around its mean, and for the rise that is
     * expected. The peak has the variation in it, so that a margin on it would count that twice. What was expected and
     * has not come true after two boot times is dropped.
     */
    private int totalReplicas(CapacityObservation observation) {
        long expectedFromMillis = observation.nowMillis() - 2 * limits.bootMillis();
        double peak = samples.stream().mapToDouble(Sample::level).max().orElse(0);
        double mean = samples.stream()
                .mapToDouble(sample -> sample.demand().slots())
                .average()
                .orElse(0);
        double expected = samples.stream()
                .filter(sample -> sample.atMillis() >= expectedFromMillis)
                .mapToDouble(Sample::expected)
                .max()
                .orElse(0);
        return Math.max(
                (int) Math.ceil(peak / observation.slotsPerReplica()),
                neededReplicas(Math.max(mean, expected), observation.slotsPerReplica()));
    }

    /**
     * Returns the replicas for a mean demand. Independent requests occupy a number of slots whose variance is its mean;
     * the margin weighs a replica that is idle against requests that wait.
     */
    private static int neededReplicas(double meanSlots, int slotsPerReplica) {
        double slots = meanSlots + MARGIN_DEVIATIONS * Math.sqrt(meanSlots);
        return (int) Math.ceil(slots / slotsPerReplica);
    }

    /** Returns the time after which keeping an idle replica has cost as much as its absence would when demand returns. */
    private long holdMillis() {
        return Math.round(LATE_COST_RATIO * MISSING_SHARE * limits.bootMillis());
    }

    private boolean mayShrink(long nowMillis) {
        return !samples.isEmpty() && samples.getFirst().atMillis() <= nowMillis - holdMillis();
    }

    /** Spreads a total evenly, starting from the smallest numbers allowed. Replicas that exist are preferred. */
    private Map<String, Integer> spread(int total, List<DomainReplicas> domains, ToIntFunction<DomainReplicas> limit) {
        Map<String, Integer> replicas = domains.stream()
                .collect(Collectors.toMap(
                        DomainReplicas::domain, domain -> Math.min(limits.min(), limit.applyAsInt(domain))));
        Comparator<DomainReplicas> order = Comparator.<DomainReplicas>comparingInt(
                        domain -> replicas.getOrDefault(domain.domain(), 0))
                .thenComparing(Comparator.comparingInt(DomainReplicas::present).reversed())
                .thenComparing(DomainReplicas::domain);
        // Demand beyond all limits must not cost a pass for each replica that cannot be ordered.
        int possible = Math.min(total, domains.stream().mapToInt(limit).sum());
        int missing = possible
                - replicas.values().stream().mapToInt(Integer::intValue).sum();
        for (int i = 0; i < missing; i++) {
            domains.stream()
                    .filter(domain -> replicas.getOrDefault(domain.domain(), 0) < limit.applyAsInt(domain))
                    .min(order)
                    .ifPresent(domain -> replicas.merge(domain.domain(), 1, Integer::sum));
        }
        return replicas;
    }

    /** Returns the number of replicas that a domain can be expected to have. */
    private int reachable(DomainReplicas domain, long nowMillis) {
        Order order = ordersByDomain.get(domain.domain());
        boolean failed = order != null && domain.serving() < order.replicas() && nowMillis >= order.failedFromMillis();
        return failed ? Math.min(limits.max(), domain.serving()) : limits.max();
    }

    /** Returns the smallest number that a domain may be given now. */
    private int lowest(DomainReplicas domain, int slotsPerReplica, boolean mayShrink) {
        int running = (int) Math.ceil((double) domain.runningSlots() / Math.max(1, slotsPerReplica));
        if (mayShrink && domain.present() > limits.max()) {
            return Math.max(limits.min(), running);
        }
        // More than one replica leaves at a time only if they have nothing to finish.
        int next = mayShrink ? domain.present() - Math.max(1, domain.empty()) : domain.present();
        return Math.max(limits.min(), Math.max(running, next));
    }

    private void recordOrders(CapacityObservation observation, Map<String, Integer> planned) {
        observation
                .domains()
                .forEach(domain -> ordersByDomain.compute(domain.domain(), (name, before) -> {
                    int replicas = planned.getOrDefault(name, domain.present());
                    boolean waiting = before != null
                            && before.serving() >= domain.serving()
                            && domain.serving() < before.replicas();
                    // The order may be executed late, and the replica then needs its boot time.
                    long failedFromMillis =
                            waiting ? before.failedFromMillis() : observation.nowMillis() + 2 * limits.bootMillis();
                    return new Order(replicas, domain.serving(), failedFromMillis);
                }));
        ordersByDomain
                .keySet()
                .retainAll(observation.domains().stream()
                        .map(DomainReplicas::domain)
                        .collect(Collectors.toSet()));
    }
}
