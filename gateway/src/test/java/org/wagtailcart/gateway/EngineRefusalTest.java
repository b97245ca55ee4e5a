package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.EngineRole;

/**
 * Guards against retries beyond the retry budget, leaked KV caches and repeated attempts at a wrong instance when
 * engines refuse requests. Every attempt after the first one of a request counts as a retry, whether it runs or not.
 */
class EngineRefusalTest {
    private static final String NOT_RUN = "Not-Run: 1\r\n";
    private static final String EVENT = "id: 0\ndata: piece\n\n";
    private static final int REQUESTS = 150;
    /** Longer than the backoff of an engine that refused a request. */
    private static final long REFUSED_MILLIS = 250;

    @ParameterizedTest
    @CsvSource({"stream, PREFILL", "stream, DECODE", "resumable, PREFILL", "resumable, DECODE"})
    void attemptsOfRefusedRequestsStayWithinTheRetryBudget(String route, EngineRole refusing) throws Exception {
        try (TestUpstream firstRefusing = new TestUpstream(TestUpstream.status(503, NOT_RUN));
                TestUpstream secondRefusing = new TestUpstream(TestUpstream.status(503, NOT_RUN));
                TestUpstream accepting =
                        new TestUpstream(TestUpstream.ok(refusing == EngineRole.DECODE ? "handle" : EVENT));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", firstRefusing, refusing);
            harness.add("b", "brain", secondRefusing, refusing);
            harness.add(
                    "c", "brain", accepting, refusing == EngineRole.DECODE ? EngineRole.PREFILL : EngineRole.DECODE);
            harness.start();
            for (int i = 0; i < REQUESTS; i++) {
                harness.send(harness.request(route, "r-" + i, 4_000));
            }
            List<TestUpstream> engines = List.of(firstRefusing, secondRefusing, accepting);
            long attempts = engines.stream()
                    .mapToLong(engine -> engine.received().size())
                    .sum();
            long firstPrefills = engines.stream()
                    .flatMap(engine -> engine.received().stream())
                    .filter(request -> !request.header("Only-Prompt").isEmpty())
                    .map(request -> request.header("Id"))
                    .distinct()
                    .count();
            double allowed = GatewayTestHarness.RETRY_RATIO * REQUESTS + GatewayTestHarness.RETRY_RESERVE;
            assertThat((double) (attempts - firstPrefills - REQUESTS)).isAtMost(allowed);
        }
    }

    /** Guards against a KV cache that is neither fetched nor released; it occupies the engine's memory for seconds. */
    @Test
    void eachKvCacheIsFetchedOrReleased() throws Exception {
        try (TestUpstream prefillEngine = new TestUpstream(TestUpstream.ok("handle"));
                TestUpstream firstRefusing = new TestUpstream(TestUpstream.status(503, NOT_RUN));
                TestUpstream secondRefusing = new TestUpstream(TestUpstream.status(503, NOT_RUN));
                GatewayTestHarness harness = GatewayTestHarness.withReserve(0)) {
            harness.add("p", "brain", prefillEngine, EngineRole.PREFILL);
            harness.add("a", "brain", firstRefusing, EngineRole.DECODE);
            harness.add("b", "brain", secondRefusing, EngineRole.DECODE);
            harness.start();
            // The budget earned by a few requests allows a second prefill, but not the stream after it.
            for (int i = 0; i < 16; i++) {
                harness.send(harness.request("stream", "r-" + i, 4_000));
                TimeUnit.MILLISECONDS.sleep(REFUSED_MILLIS);
            }
            long released = prefillEngine.received().stream()
                    .filter(request -> request.line().startsWith("DELETE /release/handle"))
                    .count();
            long prefilled = prefillEngine.received().size() - released;
            long offered = Stream.of(firstRefusing, secondRefusing)
                    .flatMap(engine -> engine.received().stream())
                    .filter(request -> !request.header("Source").isEmpty())
                    .count();
            assertThat(offered + released).isEqualTo(prefilled);
            assertThat(released).isGreaterThan(0);
        }
    }

    /**
     * Guards against sending every request twice after another instance took over an address, until the host list shows
     * the change.
     */
    @Test
    void engineThatIsNotTheListedInstanceIsTakenOutOfService() throws Exception {
        try (TestUpstream wrongInstance = new TestUpstream(TestUpstream.status(421, ""));
                TestUpstream accepting = new TestUpstream(TestUpstream.ok(EVENT));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "brain", wrongInstance, EngineRole.DECODE);
            harness.add("b", "brain", accepting, EngineRole.DECODE);
            harness.start();
            List<Integer> statuses = IntStream.range(0, 12)
                    .mapToObj(i -> status(harness, "r-" + i))
                    .toList();
            assertThat(statuses).doesNotContain(503);
            assertThat(wrongInstance.received().size()).isAtMost(2);
        }
    }

    private static int status(GatewayTestHarness harness, String id) {
        try {
            return harness.send(harness.request("resumable", id, 4_000)).statusCode();
        } catch (java.io.IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
