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

/** Engines that refuse: every arrival beyond a request's first one is a retry, whether it runs or not. */
class EngineRefusalTest {
    private static final String NOT_RUN = "Not-Run: 1\r\n";
    private static final String EVENT = "id: 0\ndata: piece\n\n";
    private static final int REQUESTS = 150;
    /** Longer than an engine that refused a request is left alone. */
    private static final long REFUSED_MILLIS = 250;

    @ParameterizedTest
    @CsvSource({"stream, PREFILL", "stream, DECODE", "resumable, PREFILL", "resumable, DECODE"})
    void arrivalsOfRefusedRequestsStayWithinTheRetryBudget(String route, EngineRole refusing) throws Exception {
        try (TestUpstream first = new TestUpstream(TestUpstream.status(503, NOT_RUN));
                TestUpstream second = new TestUpstream(TestUpstream.status(503, NOT_RUN));
                TestUpstream sound =
                        new TestUpstream(TestUpstream.ok(refusing == EngineRole.DECODE ? "handle" : EVENT));
                GatewayTestHarness rig = new GatewayTestHarness()) {
            rig.add("a", "brain", first, refusing);
            rig.add("b", "brain", second, refusing);
            rig.add("c", "brain", sound, refusing == EngineRole.DECODE ? EngineRole.PREFILL : EngineRole.DECODE);
            rig.start();
            for (int i = 0; i < REQUESTS; i++) {
                rig.send(rig.request(route, "r-" + i, 4_000));
            }
            List<TestUpstream> engines = List.of(first, second, sound);
            long arrivals = engines.stream()
                    .mapToLong(engine -> engine.received().size())
                    .sum();
            long firstPrompts = engines.stream()
                    .flatMap(engine -> engine.received().stream())
                    .filter(request -> !request.header("Only-Prompt").isEmpty())
                    .map(request -> request.header("Id"))
                    .distinct()
                    .count();
            double allowed = GatewayTestHarness.RETRY_RATIO * REQUESTS + GatewayTestHarness.RETRY_RESERVE;
            assertThat((double) (arrivals - firstPrompts - REQUESTS)).isAtMost(allowed);
        }
    }

    /** A KV cache that nobody takes fills the engine's memory for seconds. */
    @Test
    void eachKvCacheIsTakenOrReleased() throws Exception {
        try (TestUpstream reader = new TestUpstream(TestUpstream.ok("handle"));
                TestUpstream first = new TestUpstream(TestUpstream.status(503, NOT_RUN));
                TestUpstream second = new TestUpstream(TestUpstream.status(503, NOT_RUN));
                GatewayTestHarness rig = GatewayTestHarness.withReserve(0)) {
            rig.add("p", "brain", reader, EngineRole.PREFILL);
            rig.add("a", "brain", first, EngineRole.DECODE);
            rig.add("b", "brain", second, EngineRole.DECODE);
            rig.start();
            // The budget of some requests pays for another prompt, but not for the stream after it.
            for (int i = 0; i < 16; i++) {
                rig.send(rig.request("stream", "r-" + i, 4_000));
                TimeUnit.MILLISECONDS.sleep(REFUSED_MILLIS);
            }
            long released = reader.received().stream()
                    .filter(request -> request.line().startsWith("DELETE /release/handle"))
                    .count();
            long read = reader.received().size() - released;
            long offered = Stream.of(first, second)
                    .flatMap(engine -> engine.received().stream())
                    .filter(request -> !request.header("Source").isEmpty())
                    .count();
            assertThat(offered + released).isEqualTo(read);
            assertThat(released).isGreaterThan(0);
        }
    }

    /** After a change at an address every request would arrive twice until the list shows it. */
    @Test
    void anEngineThatIsAnotherThanTheListSaysIsLeftAloneForAWhile() throws Exception {
        try (TestUpstream other = new TestUpstream(TestUpstream.status(421, ""));
                TestUpstream sound = new TestUpstream(TestUpstream.ok(EVENT));
                GatewayTestHarness rig = new GatewayTestHarness()) {
            rig.add("a", "brain", other, EngineRole.DECODE);
            rig.add("b", "brain", sound, EngineRole.DECODE);
            rig.start();
            List<Integer> statuses =
                    IntStream.range(0, 12).mapToObj(i -> status(rig, "r-" + i)).toList();
            assertThat(statuses).doesNotContain(503);
            assertThat(other.received().size()).isAtMost(2);
        }
    }

    private static int status(GatewayTestHarness rig, String id) {
        try {
            return rig.send(rig.request("resumable", id, 4_000)).statusCode();
        } catch (java.io.IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
