package org.wagtailcart.bench;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ForkJoinPool;
import java.util.stream.Stream;

/** Runs every contender in the given scenarios and deployments. */
final class Suite {
    static final long DEFAULT_SEED = 20261204;

    /** Simulations run in parallel: each holds about 50 MB of requests, and four fit the heap of the tests. */
    private static final int THREADS = 4;

    private Suite() {}

    static List<Result> run(List<Scenario> scenarios, List<Deployment> deployments, long seed) {
        List<Simulation> simulations = scenarios.stream()
                .flatMap(
                        scenario -> deployments.stream().flatMap(deployment -> simulations(scenario, deployment, seed)))
                .toList();
        ForkJoinPool pool = new ForkJoinPool(THREADS);
        try {
            return pool.submit(() ->
                            simulations.parallelStream().map(Simulation::run).toList())
                    .join();
        } finally {
            pool.shutdown();
        }
    }

    private static Stream<Simulation> simulations(Scenario scenario, Deployment deployment, long seed) {
        return Arrays.stream(Contender.values())
                .filter(contender -> !contender.healthOnly() || scenario == Scenario.FLAPPING_SERVICE)
                .map(contender -> new Simulation(scenario, deployment, contender, seed));
    }
}
