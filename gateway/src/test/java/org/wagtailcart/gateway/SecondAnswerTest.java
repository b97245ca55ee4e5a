package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.http.HttpResponse;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.EngineRole;

/**
 * Guards against a caller who gets the response to an earlier request, because an upstream sent a second copy of it on a
 * connection that was already in use for the next one.
 */
class SecondAnswerTest {
    private static final int REQUESTS = 20;
    private static final int TIMEOUT_MILLIS = 2_000;

    /** Upstream that answers every second request twice: the second copy follows after a delay, in two parts. */
    private static final class DuplicatingUpstream implements AutoCloseable {
        private final ExecutorService delayed = Executors.newCachedThreadPool();
        private final AtomicInteger requests = new AtomicInteger();
        private final int delayMillis;
        private final int splitAt;

        DuplicatingUpstream(int delayMillis, int splitAt) {
            this.delayMillis = delayMillis;
            this.splitAt = splitAt;
        }

        TestUpstream.Script script() {
            return (request, out, socket) -> {
                String answer = answer(request.header("Id"));
                TestUpstream.write(out, answer);
                if (requests.incrementAndGet() % 2 == 1) {
                    delayed.execute(() -> writeCopy(out, answer));
                }
                return true;
            };
        }

        private void writeCopy(OutputStream out, String answer) {
            try {
                TimeUnit.MILLISECONDS.sleep(delayMillis);
                TestUpstream.write(out, answer.substring(0, Math.min(splitAt, answer.length())));
                TimeUnit.MILLISECONDS.sleep(delayMillis);
                TestUpstream.write(out, answer.substring(Math.min(splitAt, answer.length())));
            } catch (IOException e) {
                // The gateway has closed the connection.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private static String answer(String id) {
            String body = "id: 0\ndata: of " + id + "\n\n";
            return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s\r\nContent-Length: " + body.length() + "\r\n\r\n"
                    + body;
        }

        @Override
        public void close() {
            delayed.shutdownNow();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "safe, 0, 10000",
        "unsafe, 0, 10000",
        "unsafe, 0, 20",
        "unsafe, 1, 10000",
        "unsafe, 2, 60",
        "safe, 2, 20",
        "unsafe, 5, 10000",
        "unsafe, 20, 60",
        "stream, 0, 10000",
        "stream, 1, 60",
        "stream, 5, 20"
    })
    void theSecondCopyOfAResponseReachesNoOtherCaller(String route, int delayMillis, int splitAt) throws Exception {
        try (DuplicatingUpstream duplicating = new DuplicatingUpstream(delayMillis, splitAt);
                TestUpstream upstream = new TestUpstream(duplicating.script());
                GatewayTestHarness harness = new GatewayTestHarness()) {
            harness.add("a", "stock", upstream, null);
            harness.add("b", "brain", upstream, EngineRole.DECODE);
            harness.start();
            long own = IntStream.range(0, REQUESTS)
                    .filter(i -> getsItsOwnAnswer(harness, route, route + "-" + i, i % 4))
                    .count();
            // A connection with bytes of an earlier answer may cost a request, but not every request.
            assertThat(own).isAtLeast(REQUESTS / 2);
        }
    }

    /** Sends a request after a pause; returns whether it succeeds, which it may do only with its own answer. */
    private static boolean getsItsOwnAnswer(GatewayTestHarness harness, String route, String id, int pauseMillis) {
        try {
            TimeUnit.MILLISECONDS.sleep(pauseMillis);
            HttpResponse<String> response = harness.send(harness.request(route, id, TIMEOUT_MILLIS));
            if (response.statusCode() != 200) {
                return false;
            }
            assertThat(response.body()).isEqualTo("id: 0\ndata: of " + id + "\n\n");
            return true;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
