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
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.entry.answer.CallerResponse;
import org.wagtailcart.testing.TestAddresses;

/** Guards against a slow caller that fills the memory, delays others, or holds its thread until the deadline. */
class SlowCallerTest {
    private static final int CHUNK_BYTES = 64 << 10;
    /** Chunks of the response to a slow caller, several times what the buffers of its connection take. */
    private static final int CHUNKS = 512;
    /** Chunks of a response that was kept for its caller in full, for up to 30 s. */
    private static final int MEDIUM_CHUNKS = 112;

    private final Address address = TestAddresses.free();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final ExecutorService traffic = Executors.newCachedThreadPool();
    private final AtomicInteger taken = new AtomicInteger();
    private @Nullable Undertow server;

    /** Starts a server that writes a body of as many chunks as the path says and counts those that were taken. */
    private void startServer(long stallMillis) {
        server = Undertow.builder()
                .addHttpListener(address.port(), address.ip())
                .setIoThreads(1)
                .setHandler(exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    CallerResponseWriter writer = new CallerResponseWriter(
                            exchange, new CallerResponse(exchange, timer, MillisClock.monotonic(), stallMillis));
                    traffic.execute(() -> writeBody(
                            writer, Integer.parseInt(exchange.getRequestPath().substring(1))));
                }))
                .build();
        server.start();
    }

    @AfterEach
    void stop() {
        if (server != null) {
            server.stop();
        }
        traffic.shutdownNow();
        timer.shutdownNow();
    }

    private void writeBody(CallerResponseWriter writer, int chunks) {
        writer.start(200, List.of());
        for (int i = 0; i < chunks; i++) {
            writer.write(new byte[CHUNK_BYTES]);
            taken.incrementAndGet();
        }
        writer.end();
    }

    /** Waits until no chunk has been taken for a second; returns how many there are. */
    private int awaitPause() throws InterruptedException {
        int before = -1;
        while (taken.get() != before || before == 0) {
            before = taken.get();
            TimeUnit.SECONDS.sleep(1);
        }
        return before;
    }

    private Socket get(String path) throws IOException {
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
        startServer(10_000);
        try (Socket slow = get("/" + CHUNKS)) {
            int takenUnread = awaitPause();
            assertThat(takenUnread).isLessThan(CHUNKS / 4);
            try (Socket other = get("/1")) {
                assertThat(other.getInputStream().readAllBytes().length).isGreaterThan(CHUNK_BYTES);
            }
            assertThat(taken.get()).isAtMost(takenUnread + 2);
            assertThat(slow.getInputStream().readAllBytes().length).isGreaterThan(CHUNKS * CHUNK_BYTES);
        }
    }

    /** A caller that reads nothing would hold its buffers and the thread of its request until the deadline. */
    @Test
    void aCallerThatReadsNothingIsDisconnected() throws Exception {
        startServer(500);
        try (Socket stalled = get("/" + MEDIUM_CHUNKS)) {
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
        }
    }
}
