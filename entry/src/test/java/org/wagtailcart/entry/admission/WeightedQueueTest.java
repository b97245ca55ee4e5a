package org.wagtailcart.entry.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.Priority;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.policy.routing.RoutingDecision;
import org.wagtailcart.policy.routing.RoutingRequest;

/** Guards against a workspace that is served by its number of requests instead of its weight. */
class WeightedQueueTest {
    private static final PendingRequest.RouteListener LISTENER = new PendingRequest.RouteListener() {
        @Override
        public void onRoute(RoutingDecision route) {}

        @Override
        public void onRejected(ResultCode code) {}
    };

    private final WeightedQueue queue = new WeightedQueue();

    private void add(String workspace, int count) {
        RoutingRequest routing = new RoutingRequest("m", Priority.NORMAL, 0, 0, List.of(), 0, Set.of());
        IntStream.range(0, count)
                .forEach(i -> queue.add(new PendingRequest(
                        workspace + i, workspace, UpstreamKind.ENGINE, routing, true, Runnable::run, LISTENER)));
    }

    private List<String> take(int count, Map<String, Integer> weights) {
        return Stream.generate(() -> {
                    PendingRequest next = queue.next(weights);
                    queue.remove(next, weights);
                    return next.attemptId();
                })
                .limit(count)
                .toList();
    }

    @Test
    void withoutWeightsTheOldestIsNext() {
        add("a", 3);
        add("b", 2);
        assertThat(take(5, Map.of()))
                .containsExactly("a0", "a1", "a2", "b0", "b1")
                .inOrder();
    }

    @Test
    void workspacesOfWeightOneAndThreeAreServedOneToThree() {
        add("one", 40);
        add("three", 40);
        List<String> served = take(40, Map.of("three", 3));
        assertThat(served.stream().filter(id -> id.startsWith("three")).count()).isEqualTo(30);
        assertThat(served.stream().filter(id -> id.startsWith("one")).toList())
                .isEqualTo(IntStream.range(0, 10).mapToObj(i -> "one" + i).toList());
    }

    /** Guards against a workspace that displaces the others after it has not waited for a time. */
    @Test
    void aWorkspaceThatReturnsHasNoCredit() {
        add("one", 100);
        List<String> unused = take(50, Map.of("three", 3));
        add("three", 40);
        assertThat(take(20, Map.of("three", 3)).stream()
                        .filter(id -> id.startsWith("three"))
                        .count())
                .isAtMost(16);
    }
}
