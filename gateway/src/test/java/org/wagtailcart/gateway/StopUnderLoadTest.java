package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.Address;

/**
 * Guards against requests that a planned stop cuts off without an answer, because their connections were accepted while
 * the gateway was stopping.
 */
class StopUnderLoadTest {
    private static final int CALLERS = 8;
    private static final int STOPS = 8;
    private static final int RUN_MILLIS = 60;

    /** Caller that opens a connection per request until the gateway refuses connections. */
    private record Caller(Address gateway, AtomicInteger cut) implements Callable<Integer> {
        @Override
        public Integer call() {
            int answered = 0;
            while (true) {
                try (Socket socket = new Socket()) {
                    try {
                        socket.connect(new InetSocketAddress(gateway.ip(), gateway.port()), 2_000);
                    } catch (IOException e) {
                        return answered;
                    }
                    if (isAnswered(socket)) {
                        answered++;
                    } else {
                        cut.incrementAndGet();
                    }
                } catch (IOException e) {
                    cut.incrementAndGet();
                }
            }
        }

        private static boolean isAnswered(Socket socket) throws IOException {
            socket.setSoTimeout(5_000);
            socket.getOutputStream()
                    .write(
                            "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nId: r\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
                                    .getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            return answer.startsWith("HTTP/1.1 200 ") || answer.startsWith("HTTP/1.1 503 ");
        }
    }

    @Tag("known-red")
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void everyRequestOfAnAcceptedConnectionIsAnsweredKnownRed(long seed) throws Exception {
        Random random = new Random(seed);
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        AtomicInteger cut = new AtomicInteger();
        int answered = 0;
        try (TestUpstream upstream = new TestUpstream(TestUpstream.ok("done"))) {
            for (int stop = 0; stop < STOPS; stop++) {
                GatewayTestHarness harness = new GatewayTestHarness();
                harness.add("a", "stock", upstream, null);
                harness.start();
                List<Future<Integer>> callers = startCallers(threads, harness.callers(), cut);
                TimeUnit.MILLISECONDS.sleep(RUN_MILLIS + random.nextInt(RUN_MILLIS));
                harness.role().drain().get(5, TimeUnit.SECONDS);
                harness.close();
                for (Future<Integer> caller : callers) {
                    answered += caller.get(10, TimeUnit.SECONDS);
                }
            }
        } finally {
            threads.shutdownNow();
        }
        assertWithMessage("requests answered").that(answered).isAtLeast(STOPS * CALLERS);
        assertWithMessage("requests cut, " + answered + " answered")
                .that(cut.get())
                .isEqualTo(0);
    }

    private static List<Future<Integer>> startCallers(ExecutorService threads, Address gateway, AtomicInteger cut) {
        return IntStream.range(0, CALLERS)
                .mapToObj(i -> threads.submit(new Caller(gateway, cut)))
                .toList();
    }
}
