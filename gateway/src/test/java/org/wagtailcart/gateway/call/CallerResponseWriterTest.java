package org.wagtailcart.gateway.call;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.undertow.Undertow;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.entry.answer.CallerResponse;
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

    private static final int CHUNK_BYTES = 64 << 10;
    /** Chunks of the response to a slow caller, several times what the buffers of its connection take. */
    private static final int CHUNKS = 512;
    /** Chunks of a response that was kept for its caller in full, for up to 30 s. */
    private static final int MEDIUM_CHUNKS = 112;

    /** Writes a long body on a thread of its own, and counts the chunks that were taken. */
    private static Undertow slowCallerServer(
            Address address,
            ScheduledExecutorService timer,
            ExecutorService traffic,
            long stallMillis,
            AtomicInteger taken) {
        return Undertow.builder()
                .addHttpListener(address.port(), address.ip())
                .setIoThreads(1)
                .setHandler(exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    CallerResponseWriter writer = new CallerResponseWriter(
                            exchange, new CallerResponse(exchange, timer, MillisClock.monotonic(), stallMillis));
                    traffic.execute(() -> writeBody(
                            writer, Integer.parseInt(exchange.getRequestPath().substring(1)), taken));
                }))
                .build();
    }

    private static void writeBody(CallerResponseWriter writer, int chunks, AtomicInteger taken) {
        writer.start(200, List.of());
        for (int i = 0; i < chunks; i++) {
            writer.write(new byte[CHUNK_BYTES]);
            taken.incrementAndGet();
        }
        writer.end();
    }

    private static Socket get(Address address, String path) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(CHUNK_BYTES);
        socket.connect(address.toSocketAddress());
        socket.setSoTimeout(5_000);
        socket.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /** A slow caller must pause the upstream, neither be cut nor fill the memory, and not delay another caller. */
    @Test
    void aSlowCallerPausesTheWriterAndGetsTheWholeBody() throws Exception {
        Address address = TestAddresses.free();
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        ExecutorService traffic = Executors.newCachedThreadPool();
        AtomicInteger taken = new AtomicInteger();
        Undertow server = slowCallerServer(address, timer, traffic, 10_000, taken);
        server.start();
        try (Socket slow = get(address, "/" + CHUNKS)) {
            TimeUnit.SECONDS.sleep(1);
            int takenUnread = taken.get();
            assertThat(takenUnread).isLessThan(CHUNKS / 4);
            try (Socket other = get(address, "/1")) {
                assertThat(other.getInputStream().readAllBytes().length).isGreaterThan(CHUNK_BYTES);
            }
            assertThat(taken.get()).isAtMost(takenUnread + 2);
            assertThat(slow.getInputStream().readAllBytes().length).isGreaterThan(CHUNKS * CHUNK_BYTES);
        } finally {
            server.stop();
            traffic.shutdownNow();
            timer.shutdownNow();
        }
    }

    /** A caller that reads nothing would hold its buffers and the thread of its request until the deadline. */
    @Test
    void aCallerThatReadsNothingIsDisconnected() throws Exception {
        Address address = TestAddresses.free();
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        ExecutorService traffic = Executors.newCachedThreadPool();
        AtomicInteger taken = new AtomicInteger();
        Undertow server = slowCallerServer(address, timer, traffic, 500, taken);
        server.start();
        try (Socket stalled = get(address, "/" + MEDIUM_CHUNKS)) {
            for (int i = 0; i < 200 && taken.get() < MEDIUM_CHUNKS; i++) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            assertThat(taken.get()).isEqualTo(MEDIUM_CHUNKS);
            TimeUnit.SECONDS.sleep(1);
            assertThrows(IOException.class, () -> {
                int length = stalled.getInputStream().readAllBytes().length;
                if (length < MEDIUM_CHUNKS * CHUNK_BYTES) {
                    throw new IOException("cut after " + length + " bytes");
                }
            });
        } finally {
            server.stop();
            traffic.shutdownNow();
            timer.shutdownNow();
        }
    }
}
