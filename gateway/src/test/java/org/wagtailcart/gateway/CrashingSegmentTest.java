package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.EngineRole;

/** Guards against requests with one prompt segment that end engine after engine, because each of them is sent on. */
class CrashingSegmentTest {
    private static final String SEGMENT = "crashing";
    private static final int ENGINES = 8;
    private static final int REQUESTS = 16;
    /** Engines that may end before requests with the segment have to stop. */
    private static final int MAX_CRASHES = 5;
    /** Requests with the segment that may reach engines after that. */
    private static final int MAX_LATE_REQUESTS = 3;

    private static final long PAUSE_MILLIS = 300;

    /**
     * Sends requests with the segment in turn with others that share their first segment. The segment stands at the
     * given place of the prompt, and the segments before it are the same in all requests or differ.
     */
    @ParameterizedTest
    @CsvSource({"stream, 0, false", "stream, 1, false", "stream, 1, true", "resumable, 2, true"})
    void requestsWithACrashingSegmentStopReachingEngines(String route, int place, boolean othersDiffer)
            throws Exception {
        ScheduledExecutorService threads = Executors.newScheduledThreadPool(100);
        List<CrashingEngine> engines = new ArrayList<>();
        try (GatewayTestHarness harness = new GatewayTestHarness()) {
            for (int i = 0; i < ENGINES; i++) {
                engines.add(new CrashingEngine(SEGMENT, threads));
                harness.add("e-" + i, "brain", engines.get(i).address(), EngineRole.DECODE);
            }
            harness.start();
            int served = 0;
            for (int i = 0; i < REQUESTS; i++) {
                int request = i;
                String[] crashing = IntStream.rangeClosed(0, place + 1)
                        .mapToObj(at -> segment(at, place, othersDiffer ? request : 0, request))
                        .toArray(String[]::new);
                send(harness, route, "crashing-" + i, crashing);
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                served += send(harness, route, "sound-" + i, "first-0", "other", "own-" + i) ? 1 : 0;
            }
            int crashes = engines.stream().mapToInt(CrashingEngine::crashes).sum();
            long received = engines.stream()
                    .mapToLong(engine -> engine.receivedWith(SEGMENT))
                    .sum();
            assertWithMessage("engines that ended").that(crashes).isAtMost(MAX_CRASHES + MAX_LATE_REQUESTS);
            assertWithMessage("requests with the segment at engines")
                    .that(received)
                    .isAtMost(MAX_CRASHES + MAX_LATE_REQUESTS);
            assertWithMessage("other requests served").that(served).isAtLeast(REQUESTS * 3 / 4);
        } finally {
            for (CrashingEngine engine : engines) {
                engine.close();
            }
            threads.shutdownNow();
        }
    }

    private static String segment(int at, int place, int variant, int request) {
        if (at == place) {
            return SEGMENT;
        }
        return at > place ? "own-" + request : (at == 0 ? "first-" : "second-") + variant;
    }

    private static boolean send(GatewayTestHarness harness, String route, String id, String... segments)
            throws InterruptedException {
        try {
            return harness.send(harness.prompt(route, id, 2_000, segments)).statusCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
