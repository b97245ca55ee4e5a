package org.wagtailcart.policy.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.Priority;

/**
 * Guards against routing to upstreams that are full, excluded, removed or ejected, and against wrong load accounting.
 */
class LoadAwareRouterTest {
    private static final int MAX_IN_FLIGHT = 4;

    private final LoadAwareRouter router = new LoadAwareRouter(1);

    /** Guards against more requests than an upstream accepts, and against refusal while any upstream has capacity. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 13, 260})
    void fillsEveryUpstreamExactly(int size) {
        router.updateUpstreams(engines(EngineRole.MIXED, size), 0);
        Map<String, Integer> counts = new HashMap<>();
        IntStream.range(0, size * MAX_IN_FLIGHT)
                .forEach(i -> counts.merge(choose(i, Set.of()).orElseThrow().upstreamId(), 1, Integer::sum));
        assertThat(counts).hasSize(size);
        assertThat(Set.copyOf(counts.values())).containsExactly(MAX_IN_FLIGHT);
        assertThat(choose(size * MAX_IN_FLIGHT, Set.of())).isEmpty();
        router.onFinished("0", AttemptOutcome.SUCCESS, 1);
        assertThat(choose(size * MAX_IN_FLIGHT, Set.of())).isPresent();
    }

    /** Guards against a retry on an upstream already tried, and against one that misses the only remaining upstream. */
    @Test
    void excludedUpstreamsAreNeverChosen() {
        router.updateUpstreams(engines(EngineRole.MIXED, 5), 0);
        Set<String> tried = Set.of("MIXED-0", "MIXED-1", "MIXED-2", "MIXED-3");
        IntStream.range(0, MAX_IN_FLIGHT)
                .forEach(i ->
                        assertThat(choose(i, tried).orElseThrow().upstreamId()).isEqualTo("MIXED-4"));
        assertThat(choose(MAX_IN_FLIGHT, tried)).isEmpty();
    }

    /** Guards against a decode engine without a prefill engine, and against prefill slots occupied during decode. */
    @Test
    void splitRouteOccupiesPrefillUntilFirstToken() {
        List<RoutableUpstream> fleet = new ArrayList<>(engines(EngineRole.DECODE, 3));
        router.updateUpstreams(fleet, 0);
        assertThat(choose(0, Set.of())).isEmpty();
        fleet.addAll(engines(EngineRole.PREFILL, 1));
        router.updateUpstreams(fleet, 0);
        IntStream.range(0, MAX_IN_FLIGHT)
                .forEach(i -> assertThat(choose(i, Set.of()).orElseThrow().prefillUpstreamId())
                        .hasValue("PREFILL-0"));
        assertThat(choose(MAX_IN_FLIGHT, Set.of())).isEmpty();
        router.onFirstToken("0", 1);
        router.onFirstToken("0", 2);
        assertThat(choose(MAX_IN_FLIGHT, Set.of())).isPresent();
        assertThat(choose(MAX_IN_FLIGHT + 1, Set.of())).isEmpty();
    }

    /** Guards against routing to a removed upstream, and against losing the tracked load of one that remains. */
    @Test
    void aRemovedUpstreamGetsNoRequests() {
        router.updateUpstreams(engines(EngineRole.MIXED, 2), 0);
        IntStream.range(0, 4).forEach(i -> choose(i, Set.of()));
        router.updateUpstreams(engines(EngineRole.MIXED, 1), 1);
        IntStream.range(0, 4).forEach(i -> router.onFinished("" + i, AttemptOutcome.SUCCESS, 2));
        IntStream.range(4, 4 + MAX_IN_FLIGHT)
                .forEach(i -> assertThat(choose(i, Set.of()).orElseThrow().upstreamId())
                        .isEqualTo("MIXED-0"));
        assertThat(choose(99, Set.of())).isEmpty();
    }

    /** Guards against ignoring load that only a report shows, and against using that report after it has expired. */
    @Test
    void loadReportAccountsForWorkOfOtherEntries() {
        router.updateUpstreams(engines(EngineRole.MIXED, 2), 0);
        choose(0, Set.of());
        choose(1, Set.of());
        router.onLoadReport("MIXED-0", 9, 0, 100);
        assertThat(choose(2, 100).orElseThrow().upstreamId()).isEqualTo("MIXED-1");
        assertThat(choose(3, 100).orElseThrow().upstreamId()).isEqualTo("MIXED-1");
        assertThat(choose(4, 60_000).orElseThrow().upstreamId()).isEqualTo("MIXED-0");
    }

    /** Guards against an update of the upstreams that readmits failed ones, and against too many ejected at once. */
    @ParameterizedTest
    @CsvSource({"4, 1, 1", "4, 2, 2", "4, 3, 2", "3, 3, 2", "1, 1, 0"})
    void fleetUpdateKeepsFailedUpstreamsEjected(int size, int failing, int ejected) {
        router.updateUpstreams(engines(EngineRole.MIXED, size), 0);
        Set<String> failed = Set.copyOf(IntStream.range(size - failing, size)
                .mapToObj(i -> "MIXED-" + i)
                .toList());
        for (int i = 0; i < 200; i++) {
            String chosen = choose(i, Set.of()).orElseThrow().upstreamId();
            router.onFinished("" + i, failed.contains(chosen) ? AttemptOutcome.FAILURE : AttemptOutcome.SUCCESS, 0);
        }
        router.updateUpstreams(engines(EngineRole.MIXED, size), 1);
        Set<String> available = new HashSet<>();
        for (int i = 1_000;
                choose(i, available)
                        .map(route -> available.add(route.upstreamId()))
                        .isPresent();
                i++) {}
        assertThat(available).hasSize(size - ejected);
    }

    private Optional<RoutingDecision> choose(int id, Set<String> excluded) {
        return router.choose("" + id, request(Set.copyOf(excluded)), 0);
    }

    private Optional<RoutingDecision> choose(int id, long nowMillis) {
        return router.choose("" + id, request(Set.of()), nowMillis);
    }

    private static RoutingRequest request(Set<String> excluded) {
        return new RoutingRequest("model", Priority.NORMAL, 500, 100, List.of(), 10_000, excluded);
    }

    private static List<RoutableUpstream> engines(EngineRole role, int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new RoutableUpstream(role + "-" + i, "model", "fes", role, MAX_IN_FLIGHT))
                .toList();
    }
}
