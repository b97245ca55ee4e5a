package org.wagtailcart.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.wagtailcart.policy.role.RoleOptions;

/** Generates the arrivals of a scenario from a seed; every contender receives the same ones. */
final class Workload {
    private final Scenario scenario;
    private final Deployment deployment;
    private final SplittableRandom random;
    private final Map<Mix, Double> capacities = new EnumMap<>(Mix.class);
    private final List<Arrival> arrivals = new ArrayList<>();

    private Workload(Scenario scenario, Deployment deployment, long seed) {
        this.scenario = scenario;
        this.deployment = deployment;
        this.random = new SplittableRandom(seed);
    }

    static List<Arrival> generate(Scenario scenario, Deployment deployment, long seed, int entries) {
        Workload workload = new Workload(scenario, deployment, seed);
        workload.addEngineRequests(entries);
        workload.addServiceRequests(entries);
        workload.arrivals.sort(Comparator.comparingDouble(Arrival::atMillis));
        return workload.arrivals;
    }

    /** Returns the engine requests per second of a phase, without noise. */
    static double rate(Phase phase, Deployment deployment) {
        return phase.load() * phase.mix().capacity(deployment.engines, roleOptions(deployment));
    }

    static RoleOptions roleOptions(Deployment deployment) {
        return RoleOptions.defaults(1_000 * CostModel.PREFILL_TOKENS_PER_MILLI, CostModel.decodeTokensPerSecond())
                .withWeights(deployment.goodputWeight, deployment.roleChangeWeight);
    }

    private void addEngineRequests(int entries) {
        double at = 0;
        double noise = 1;
        long noisyUntil = 0;
        while (at < Scenario.END_MILLIS) {
            Phase phase = scenario.phaseAt(at);
            if (at >= noisyUntil) {
                // Each sample of the rate noise holds for 1 s, long enough for queues to build up.
                noise = Math.exp(scenario.noise() * (2 * random.nextDouble() - 1) * 1.7);
                noisyUntil = (long) at + 1_000;
            }
            double capacity = capacities.computeIfAbsent(
                    phase.mix(), mix -> mix.capacity(deployment.engines, roleOptions(deployment)));
            at += exponential(1_000 / (phase.load() * capacity * noise));
            add(at, phase.mix().pick(random.nextDouble()), entries);
        }
    }

    private void addServiceRequests(int entries) {
        double at = 0;
        while (at < Scenario.END_MILLIS) {
            at += exponential(1_000 / scenario.serviceRequestsPerSecond());
            add(at, random.nextInt(4) == 0 ? RequestKind.BOOKING : RequestKind.LOOKUP, entries);
        }
    }

    private void add(double at, RequestKind kind, int entries) {
        int prompt = (int) (kind.promptTokens * (0.6 + 0.8 * random.nextDouble()));
        int output = Math.max(1, (int) (kind.outputTokens * (0.4 + 1.2 * random.nextDouble())));
        int group = random.nextInt(kind.prefixGroups);
        List<Long> hashes = hashes(kind, group, prompt);
        arrivals.add(new Arrival(arrivals.size(), at, kind, prompt, output, hashes, random.nextInt(entries)));
    }

    private List<Long> hashes(RequestKind kind, int group, int prompt) {
        int shared = kind.sharedBlocks();
        long own = random.nextLong();
        return LongStream.range(0, prompt / CostModel.BLOCK_TOKENS)
                .mapToObj(block ->
                        block < shared ? (kind.name().hashCode() * 1_000L + group) * 1_000 + block : own + block)
                .toList();
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }
}
