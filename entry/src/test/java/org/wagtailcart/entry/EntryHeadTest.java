package org.wagtailcart.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.entry.request.HttpRequestHead;
import org.wagtailcart.testing.PipelinedCaller;

/** Guards against callers that exhaust the memory of an entry with endless request heads. */
class EntryHeadTest {
    @ParameterizedTest
    @CsvSource({"-1000, HTTP/1.1 200", "1000, HTTP/1.1 400"})
    void aHeadAboveTheLimitIsRefused(int excessBytes, String status) throws Exception {
        try (EntryFixture fixture = new EntryFixture(new FakeControl(), ControlLossPolicy.SERVE_IDEMPOTENT);
                PipelinedCaller caller = new PipelinedCaller(fixture.address)) {
            String filling = "x".repeat(HttpRequestHead.MAX_BYTES + excessBytes);
            caller.send("GET /livez HTTP/1.1\r\nHost: h\r\nFilling: " + filling + "\r\n\r\n", List.of());
            assertThat(caller.readResponse()).startsWith(status);
        }
    }
}
