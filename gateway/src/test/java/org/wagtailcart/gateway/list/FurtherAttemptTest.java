package org.wagtailcart.gateway.list;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.Regions;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.policy.placement.Location;

/**
 * Guards against a sound request that spends its four attempts on upstreams that are down, because their ejection has
 * ended, while others work; and against upstreams that never get a request again.
 */
class FurtherAttemptTest {
    private static final int DOWN = 4;
    /** Longer than a first ejection. */
    private static final long AFTER_EJECTION_MILLIS = 1_600;

    private final AtomicLong nowMillis = new AtomicLong(1_000);
    private final UpstreamRegistry registry = new UpstreamRegistry(new Location("fes", Regions.SINGLE), nowMillis::get);

    private static ListedUpstream listed(String id, @Nullable EngineRole role) {
        return new ListedUpstream(id, "s", new Address("127.0.0.1", 1), "fes", 4, false, role);
    }

    private InFlightRequest start(Set<String> excluded) {
        return registry.startReplicaRequest("s", UpstreamFilter.excluding(excluded))
                .orElseThrow();
    }

    /** Fails requests to the upstreams that are down until all of them are ejected. */
    private void ejectThoseDown() {
        for (int i = 0; i < 100; i++) {
            InFlightRequest request = start(Set.of());
            request.end(
                    request.upstream().id().startsWith("down") ? UpstreamOutcome.NO_RESPONSE : UpstreamOutcome.SUCCESS,
                    nowMillis.get() + (request.upstream().id().startsWith("down") ? 0 : 100));
        }
    }

    @ParameterizedTest
    @CsvSource({"4", "1", "0"})
    void furtherAttemptsAvoidUpstreamsWhoseEjectionHasJustEnded(int working) {
        registry.applyHostList(
                Stream.concat(
                                IntStream.range(0, DOWN).mapToObj(i -> listed("down-" + i, null)),
                                IntStream.range(0, working).mapToObj(i -> listed("works-" + i, null)))
                        .toList(),
                nowMillis.get(),
                "test");
        ejectThoseDown();
        nowMillis.addAndGet(AFTER_EJECTION_MILLIS);
        InFlightRequest first = start(Set.of());
        assertThat(first.upstream().id()).startsWith("down");
        first.end(UpstreamOutcome.NO_RESPONSE, nowMillis.get());
        Set<String> excluded = new HashSet<>(List.of(first.upstream().id()));
        String second = start(excluded).upstream().id();
        assertThat(second).startsWith(working > 0 ? "works" : "down");
        assertThat(excluded).doesNotContain(second);
    }
}
