package org.wagtailcart.gateway.call;

import static com.google.common.truth.Truth.assertThat;

import io.undertow.Undertow;
import io.undertow.util.SameThreadExecutor;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.testing.TestAddresses;

/** Guards against a caller who waits without an answer because its response cannot be written. */
class CallerResponseWriterTest {
    private static final List<String> INVALID_HEADERS = List.of("St\u2603mp", "s");
    private static final byte[] BODY = "body".getBytes(StandardCharsets.US_ASCII);

    private enum Operation {
        REPLY(writer -> writer.reply(200, INVALID_HEADERS, BODY)),
        START(writer -> writer.start(200, INVALID_HEADERS));

        private final Consumer<CallerResponseWriter> action;

        Operation(Consumer<CallerResponseWriter> action) {
            this.action = action;
        }
    }

    @ParameterizedTest
    @EnumSource
    void aFailedOperationClosesTheConnection(Operation operation) throws Exception {
        Address address = TestAddresses.free();
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        Undertow server = Undertow.builder()
                .addHttpListener(address.port(), address.ip())
                .setHandler(exchange -> exchange.dispatch(
                        SameThreadExecutor.INSTANCE,
                        () -> operation.action.accept(new CallerResponseWriter(exchange, timer))))
                .build();
        server.start();
        try (Socket socket = new Socket(address.ip(), address.port())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        } finally {
            server.stop();
            timer.shutdownNow();
        }
    }
}
