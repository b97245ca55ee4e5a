package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against wrong responses to requests that arrive before the gateway has a routing table, as all do after a
 * power failure.
 */
class StartupTest {
    @ParameterizedTest
    @CsvSource({"safe, 9000, 503", "unsafe, 9000, 503", "stream, 9000, 503"})
    void requestIsRefusedAsNotRunAndReachesNoUpstream(String route, long controlMillis, int status) throws Exception {
        try (TestUpstream upstream = new TestUpstream(TestUpstream.ok("body"));
                GatewayTestHarness harness = new GatewayTestHarness(controlMillis)) {
            harness.add("a", "stock", upstream, null);
            harness.startUnready();
            HttpResponse<String> response = harness.send(harness.request(route, "r-1", 5_000));
            assertThat(response.statusCode()).isEqualTo(status);
            assertThat(upstream.received()).hasSize(status == 200 ? 1 : 0);
        }
    }
}
