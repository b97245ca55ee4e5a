package org.wagtailcart.policy.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.function.IntFunction;
import java.util.function.LongToDoubleFunction;
import java.util.stream.IntStream;

/**
 * Load on one failure domain in steps of one second. Orders take the boot time to have effect, and removals take effect
 * at once.
 *
 * @param limits limits of the service
 * @param initialReplicas replicas at the start
 * @param seconds length of the load
 * @param meanSlots mean demand at a second
 */
record CapacityLoad(ReplicaLimits limits, int initialReplicas, int seconds, LongToDoubleFunction meanSlots) {
    static final int SLOTS = 6;
    private static final double LATE_COST = 20;
    private static final double TARGET_UTILIZATION = 0.7;
    private static final long SEED = 20_261_206;

    /** Chooses a number from an observation. */
    interface Rule {
        int replicas(CapacityObservation observation);
    }

    /**
     * What a rule achieved.
     *
     * @param replicaSeconds billed time of replicas, those that boot included
     * @param lateReplicaSeconds work that found no free slot, in the time of a replica
     * @param reductions orders of a smaller number
     */
    record Result(double replicaSeconds, double lateReplicaSeconds, int reductions) {
        double cost() {
            return replicaSeconds + LATE_COST * lateReplicaSeconds;
        }
    }

    Result runPlanner() {
        ReplicaCountPlanner planner = new ReplicaCountPlanner(limits);
        return run(observation -> planner.plan(observation).getOrDefault("zone", 0));
    }

    Result runConstant(int replicas) {
        return run(observation -> replicas);
    }

    Result runTargetUtilization() {
        return run(observation -> Math.min(limits.max(), Math.max(limits.min(), (int)
                Math.ceil(observation.demandSlots().orElse(0) / (SLOTS * TARGET_UTILIZATION)))));
    }

    /** Returns the cheapest constant number, which is known only afterwards. */
    Result runBestConstant() {
        IntFunction<Result> constant = this::runConstant;
        return IntStream.rangeClosed(limits.min(), limits.max())
                .mapToObj(constant)
                .min((a, b) -> Double.compare(a.cost(), b.cost()))
                .orElseThrow();
    }

    private Result run(Rule rule) {
        Random random = new Random(SEED);
        Deque<Long> bootedAtMillis = new ArrayDeque<>();
        int serving = initialReplicas;
        int reductions = 0;
        double replicaSeconds = 0;
        double late = 0;
        for (int second = 0; second < seconds; second++) {
            long nowMillis = second * 1_000L;
            while (!bootedAtMillis.isEmpty() && bootedAtMillis.getFirst() <= nowMillis) {
                bootedAtMillis.remove();
                serving++;
            }
            double mean = meanSlots.applyAsDouble(second);
            double demand = Math.max(0, mean + Math.sqrt(mean) * random.nextGaussian());
            late += Math.max(0, demand / SLOTS - serving);
            replicaSeconds += serving + bootedAtMillis.size();
            int desired = rule.replicas(observation(nowMillis, demand, serving, bootedAtMillis.size()));
            int change = desired - serving - bootedAtMillis.size();
            reductions += change < 0 ? 1 : 0;
            for (int i = 0; i < change; i++) {
                bootedAtMillis.add(nowMillis + limits.bootMillis());
            }
            for (int i = 0; i > change; i--) {
                if (bootedAtMillis.pollLast() == null) {
                    serving--;
                }
            }
        }
        return new Result(replicaSeconds, late, reductions);
    }

    private static CapacityObservation observation(long nowMillis, double demand, int serving, int booting) {
        int running = (int) Math.min(demand, serving * SLOTS);
        int empty = Math.max(0, serving - Math.max(1, running));
        return new CapacityObservation(
                nowMillis,
                OptionalDouble.of(demand),
                SLOTS,
                List.of(new DomainReplicas("zone", serving, booting, empty, running)));
    }
}
