package org.wagtailcart.sidecar;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.Priority;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.upstream.UpstreamClient;
import org.wagtailcart.sidecar.upstream.UpstreamOptions;
import org.wagtailcart.testing.InvalidResponse;
import org.wagtailcart.testing.RawServer;

/** Guards against a sidecar that forwards a part of a response, or a response that is none, as a complete one. */
class IncompleteUpstreamResponseTest {
    private static final long REMAINING_MILLIS = 2_000;

    private final UpstreamClient client = new UpstreamClient(UpstreamOptions.standard(), MillisClock.monotonic());

    private static AttemptRequest request(int bodyBytes) {
        return new AttemptRequest(
                "a-1",
                0,
                0,
                "s1",
                1,
                REMAINING_MILLIS,
                Priority.INTERACTIVE,
                "POST",
                "/x",
                List.of(),
                new byte[bodyBytes]);
    }

    private void assertFails(RawServer server, int bodyBytes) {
        WagtailcartException error = assertThrows(WagtailcartException.class, () -> client.prepare(
                        TestUpstreamCalls.upstream("s1", UpstreamKind.SERVICE, server.address()),
                        request(bodyBytes),
                        REMAINING_MILLIS)
                .run(TestUpstreamCalls.IGNORE));
        assertThat(error.runState()).isEqualTo(RunState.MAY_HAVE_RUN);
    }

    @ParameterizedTest
    @EnumSource
    void anInvalidResponseFails(InvalidResponse response) throws Exception {
        try (RawServer server = new RawServer(socket -> {
            RawServer.readRequest(socket.getInputStream());
            RawServer.write(socket, response.text(""), new Random(1));
        })) {
            assertFails(server, 10);
        }
    }

    @ParameterizedTest
    @CsvSource({"1", "2"})
    void aPartOfABodyIsNoResponseToAnUpload(long seed) throws Exception {
        Random random = new Random(seed);
        try (RawServer server = new RawServer(socket -> {
            RawServer.readHead(socket.getInputStream());
            RawServer.write(socket, "HTTP/1.1 200 X\r\nA: b\r\n\r\na part", random);
            socket.getInputStream().readNBytes(random.nextInt(400_000));
            RawServer.resetOnClose(socket);
        })) {
            for (int i = 0; i < 20; i++) {
                assertFails(server, 1_500_000);
            }
        }
    }
}
