package org.wagtailcart.gateway.send;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.testing.RawServer;

/** Guards against needless connections, and against requests on a connection that its upstream is about to close. */
class IdleConnectionTest {
    private final AtomicLong nowMillis = new AtomicLong();

    @ParameterizedTest
    @CsvSource({
        "'', true, 0, 3900, 1",
        "'', true, 0, 4100, 2",
        "'', true, 9000, 3900, 1",
        "timeout=15, true, 0, 13000, 1",
        "'max=9, timeout=15', true, 0, 13000, 1",
        "timeout=15, true, 0, 14000, 2",
        "timeout=15, false, 0, 3900, 1",
        "timeout=15, false, 0, 4100, 2",
        "timeout=2, true, 0, 1100, 2",
        "timeout=1, true, 0, 400, 1",
        "timeout=x, true, 0, 4100, 2"
    })
    void aConnectionIsReusedAsLongAsItsUpstreamKeepsIt(
            String keepAlive, boolean repeatable, long bodyMillis, long idleMillis, int connections) throws Exception {
        String headers = keepAlive.isEmpty() ? "" : "Keep-Alive: " + keepAlive + "\r\n";
        RawServer.Script script = socket -> {
            while (!RawServer.readRequest(socket.getInputStream()).isEmpty()) {
                RawServer.write(socket, "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 2\r\n\r\nok", new Random(1));
            }
        };
        UpstreamTimeouts timeouts =
                repeatable ? UpstreamTimeouts.repeatable(5_000, 5_000) : UpstreamTimeouts.singleRun(5_000, 5_000);
        SuspectUpstreams suspects = new SuspectUpstreams(nowMillis::get);
        UnexpectedResponseLog log = new UnexpectedResponseLog(new MetricRegistry(), suspects);
        try (RawServer upstream = new RawServer(script);
                UpstreamHttpClient client = new UpstreamHttpClient(nowMillis::get, log, suspects)) {
            for (int i = 0; i < 2; i++) {
                UpstreamRequest request = client.prepare(
                        "r-" + i,
                        ResponseCheck.NONE,
                        upstream.address(),
                        "POST",
                        "/",
                        List.of(),
                        new byte[0],
                        timeouts);
                try (UpstreamResponse response = request.execute()) {
                    nowMillis.addAndGet(bodyMillis);
                    assertThat(new String(response.readAll(), StandardCharsets.US_ASCII))
                            .isEqualTo("ok");
                }
                nowMillis.addAndGet(idleMillis);
            }
            assertThat(upstream.connections()).isEqualTo(connections);
        }
    }
}
