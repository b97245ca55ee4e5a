package org.wagtailcart.bench;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.IntStream;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.Priority;
import org.wagtailcart.policy.routing.AttemptOutcome;
import org.wagtailcart.policy.routing.LoadAwareRouter;
import org.wagtailcart.policy.routing.RoutableUpstream;
import org.wagtailcart.policy.routing.Router;
import org.wagtailcart.policy.routing.RoutingRequest;

/** Microbenchmark of the time and allocation of a routing decision, with its accounting, at several fleet sizes. */
public final class DecisionCost {
    private static final List<Integer> FLEET_SIZES = List.of(16, 260, 2_100);
    private static final int WARM_UP_DECISIONS = 300_000;
    private static final int MEASURED_DECISIONS = 1_000_000;
    /** Requests in flight per upstream while measuring, half of {@link #MAX_IN_FLIGHT}. */
    private static final int IN_FLIGHT_PER_UPSTREAM = 16;

    private static final int MAX_IN_FLIGHT = 32;

    private DecisionCost() {}

    /** Prints the results as a Markdown table, one row for each fleet size. */
    public static void main(String[] args) {
        Console.print("| replicas | load-aware ns | load-aware bytes | least-in-flight scan ns | scan bytes |");
        Console.print("|---|---|---|---|---|");
        FLEET_SIZES.forEach(size -> {
            Cost own = measure(new LoadAwareRouter(1), size, MEASURED_DECISIONS);
            Cost scan = measure(BaselineRouter.leastInFlight(), size, MEASURED_DECISIONS / 20);
            Console.print(String.format(
                    Locale.ROOT,
                    "| %d | %.0f | %.0f | %.0f | %.0f |",
                    size,
                    own.nanos(),
                    own.bytes(),
                    scan.nanos(),
                    scan.bytes()));
        });
    }

    private record Cost(double nanos, double bytes) {}

    private static Cost measure(Router router, int size, int decisions) {
        router.updateUpstreams(upstreams(size), 0);
        int open = size * IN_FLIGHT_PER_UPSTREAM;
        String[] ids = IntStream.range(0, open).mapToObj(i -> "attempt-" + i).toArray(String[]::new);
        RoutingRequest request =
                new RoutingRequest("model", Priority.NORMAL, 800, 200, List.of(1L, 2L, 3L), 60_000, Set.of());
        IntStream.range(0, open).forEach(i -> router.choose(ids[i], request, 0));
        decide(router, ids, request, decisions * (long) WARM_UP_DECISIONS / MEASURED_DECISIONS);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long bytes = threads.getCurrentThreadAllocatedBytes();
        long nanos = System.nanoTime();
        decide(router, ids, request, decisions);
        double spent = System.nanoTime() - nanos;
        return new Cost(spent / decisions, (threads.getCurrentThreadAllocatedBytes() - bytes) / (double) decisions);
    }

    /** Finishes the oldest request and routes another, which keeps the number in flight constant. */
    private static void decide(Router router, String[] ids, RoutingRequest request, long decisions) {
        for (long i = 0; i < decisions; i++) {
            String id = ids[(int) (i % ids.length)];
            router.onFinished(id, AttemptOutcome.SUCCESS, i);
            router.choose(id, request, i);
        }
    }

    private static List<RoutableUpstream> upstreams(int size) {
        return IntStream.range(0, size)
                .mapToObj(i -> new RoutableUpstream("engine-" + i, "model", "d", EngineRole.MIXED, MAX_IN_FLIGHT))
                .toList();
    }
}
