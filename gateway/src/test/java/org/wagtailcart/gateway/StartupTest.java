package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests that reach a gateway before it knows any route, as all do after a loss of power. */
class StartupTest {
    @ParameterizedTest
    @CsvSource({"safe, 9000, 503", "unsafe, 9000, 503", "stream, 9000, 503"})
    void aRequestIsRefusedAsNotRunAndSentNowhere(String route, long controlMillis, int status) throws Exception {
        try (TestUpstream upstream = new TestUpstream(TestUpstream.ok("body"));
                GatewayTestHarness rig = new GatewayTestHarness(controlMillis)) {
            rig.add("a", "stock", upstream, null);
            rig.startUnready();
            HttpResponse<String> response = rig.send(rig.request(route, "r-1", 5_000));
            assertThat(response.statusCode()).isEqualTo(status);
            assertThat(upstream.received()).hasSize(status == 200 ? 1 : 0);
        }
    }
}
