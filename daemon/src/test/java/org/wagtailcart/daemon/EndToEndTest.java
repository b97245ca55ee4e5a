package org.wagtailcart.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against modules that work alone but not together: runs prompts and a booking through real processes. */
class EndToEndTest {
    /** Guards against a prompt that is not served and a booking that runs twice when it is sent through two entries. */
    @Test
    void servesPromptsAndRunsABookingOnce(@TempDir Path folder) {
        List<String> sidecars = List.of("sidecar-1", "sidecar-2");
        List<String> services = List.of("stock-1", "stock-2");
        try (ProcessFleet fleet = new ProcessFleet(folder, 3)) {
            fleet.startEngine("engine-1");
            fleet.startEngine("engine-2", "--ignore-fencing");
            services.forEach(fleet::startService);
            fleet.applySettings(fleet.settingsTree(sidecars), 0);
            sidecars.forEach(name -> fleet.startDaemon(name, "sidecar"));
            fleet.startDaemon("entry-1", "entry");
            fleet.startDaemon("entry-2", "entry");
            fleet.awaitServing("entry-1");
            fleet.awaitServing("entry-2");

            HttpResponse<String> streamed = fleet.sendCompletion("entry-1", "hello", 5, true);
            assertWithMessage(streamed.body() + fleet.logs())
                    .that(streamed.statusCode())
                    .isEqualTo(200);
            assertThat(streamed.body()).contains("data: [DONE]");
            HttpResponse<String> unstreamed = fleet.sendCompletion("entry-2", "hello", 5, false);
            assertThat(fleet.parseJson(unstreamed.body())
                            .at("/usage/completion_tokens")
                            .asInt())
                    .isEqualTo(5);

            fleet.await(
                    "a booking",
                    () -> fleet.sendBooking("entry-1", "key-0", "wheel").statusCode() < 300);
            HttpResponse<String> first = fleet.sendBooking("entry-1", "key-1", "canopy");
            HttpResponse<String> second = fleet.sendBooking("entry-2", "key-1", "canopy");
            assertThat(first.statusCode()).isEqualTo(second.statusCode());
            assertThat(second.body()).isEqualTo(first.body());
            assertThat(fleet.runCount("key-1", services)).isEqualTo(1);
            assertThat(fleet.sendBooking("entry-2", "key-1", "other").statusCode())
                    .isEqualTo(422);
        }
    }
}
