package org.wagtailcart.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.testing.TestAddresses;

/** Guards against calls between peers that lose replies, hang or report a wrong run state, over real sockets. */
class PeerTest {
    record Ping(String text, int count) {}

    record Pong(String text, byte[] bytes) {}

    private static final WireOptions FAST = new WireOptions(1 << 16, 50, 50, 2_000, 5_000, 1 << 20);
    private static final MessageCodec CODEC =
            new MessageCodec(List.of(List.of(new MessageType(10, Ping.class), new MessageType(11, Pong.class))));

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final MetricRegistry registry = new MetricRegistry();
    private final IoLoop loop = new IoLoop("test-io");
    private final CompletableFuture<Void> cancelled = new CompletableFuture<>();
    private Address address;
    private PeerServer server;
    private PeerClient client;

    @BeforeEach
    void start() {
        address = TestAddresses.free();
        server = new PeerServer(loop, address, CODEC, this::handle, executor, FAST, registry);
        server.start();
        client = new PeerClient(loop, CODEC, executor, FAST, registry);
    }

    @AfterEach
    void stop() {
        client.close();
        server.close();
        loop.close();
        executor.shutdownNow();
    }

    private void handle(Exchange exchange, Object request) {
        Ping ping = (Ping) request;
        if (ping.text().equals("hang")) {
            exchange.onCancel(() -> cancelled.complete(null));
            return;
        }
        if (ping.text().equals("reject")) {
            throw new WagtailcartException(ResultCode.QUEUE_FULL, "queue is full");
        }
        IntStream.range(0, ping.count()).forEach(i -> exchange.send(new Pong("event-" + i, new byte[i])));
        exchange.finish(new Pong(ping.text(), new byte[] {1, 2, 3}));
    }

    /** Guards against events of a streamed response that are lost or reordered. */
    @Test
    void deliversEventsInOrderThenTheEnd() throws Exception {
        Queue<String> events = new ConcurrentLinkedQueue<>();
        CompletableFuture<String> end = new CompletableFuture<>();
        client.open(address, new Ping("stream", 500), new StreamListener() {
            @Override
            public void onEvent(Object event) {
                events.add(((Pong) event).text());
            }

            @Override
            public void onEnd(Object response) {
                end.complete(((Pong) response).text());
            }

            @Override
            public void onFailure(WagtailcartException error) {
                end.completeExceptionally(error);
            }
        });
        assertThat(end.get(20, TimeUnit.SECONDS)).isEqualTo("stream");
        assertThat(events)
                .containsExactlyElementsIn(
                        IntStream.range(0, 500).mapToObj(i -> "event-" + i).toList())
                .inOrder();
    }

    /** Guards against an error reply that loses its result code or its run state. */
    @Test
    void errorKeepsCodeAndRunState() {
        WagtailcartException error = failureOf(client.call(address, new Ping("reject", 0), Pong.class, 20_000));
        assertThat(error.code()).isEqualTo(ResultCode.QUEUE_FULL);
        assertThat(error.runState()).isEqualTo(RunState.NOT_RUN);
    }

    /** Guards against run state MAY_HAVE_RUN for a request of which no byte left the process. */
    @Test
    void refusedConnectDidNotRun() {
        server.close();
        Address unboundAddress = new Address("127.0.0.1", 1);
        WagtailcartException error = failureOf(client.call(unboundAddress, new Ping("x", 0), Pong.class, 20_000));
        assertThat(error.code()).isEqualTo(ResultCode.CONNECT_FAILED);
        assertThat(error.runState()).isEqualTo(RunState.NOT_RUN);
    }

    /** Guards against a handler that keeps working after its caller cancelled the request. */
    @Test
    void cancelReachesTheHandler() throws Exception {
        Call call = client.open(
                address, new Ping("hang", 0), new SingleResponseListener<>(new CompletableFuture<>(), Pong.class));
        CompletableFuture.delayedExecutor(100, TimeUnit.MILLISECONDS, executor).execute(call::cancel);
        cancelled.get(20, TimeUnit.SECONDS);
    }

    /** Guards against a call that never ends because its peer stopped responding without closing the connection. */
    @Test
    void silentPeerFailsTheCallAndIsReplaced() throws Exception {
        try (ServerSocket silent = new ServerSocket(0)) {
            Address silentAddress = new Address("127.0.0.1", silent.getLocalPort());
            WagtailcartException error = failureOf(client.call(silentAddress, new Ping("x", 0), Pong.class, 60_000));
            assertThat(error.code()).isEqualTo(ResultCode.CONNECTION_SILENT);
            assertThat(error.runState()).isEqualTo(RunState.MAY_HAVE_RUN);
            assertThat(client.connectionCount()).isEqualTo(0);
        }
    }

    /** Guards against a frame that stays in the write queue when several threads send concurrently. */
    @Test
    void concurrentSendersDoNotStallTheConnection() {
        List<CompletableFuture<Void>> senders = IntStream.range(0, 8)
                .mapToObj(sender -> CompletableFuture.runAsync(
                        () -> IntStream.range(0, 3_000)
                                .forEach(i -> client.call(address, new Ping("x", 0), Pong.class, 60_000)
                                        .join()),
                        executor))
                .toList();
        senders.forEach(CompletableFuture::join);
        assertThat(registry.meter("wire.connections-silent").getCount()).isEqualTo(0);
    }

    static Stream<Arguments> badInput() {
        return Stream.of(
                Arguments.of("negative length", new byte[] {-1, -1, -1, -1}),
                Arguments.of(
                        "frame above the size limit",
                        ByteBuffer.allocate(4).putInt(1 << 20).array()),
                Arguments.of("not MessagePack", new byte[] {0, 0, 0, 3, 1, 2, 3}),
                Arguments.of(
                        "unsupported protocol version", new byte[] {0, 0, 0, 6, (byte) 0x95, 9, 1, 1, 0, (byte) 0xc4}),
                Arguments.of("unknown frame kind", new byte[] {0, 0, 0, 7, (byte) 0x95, 1, 99, 1, 0, (byte) 0xc4, 0}));
    }

    /** Guards against malformed input on one connection that affects the process or other connections. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("badInput")
    void badBytesCloseOnlyTheirConnection(String name, byte[] bytes) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", address.port())) {
            socket.setSoTimeout(20_000);
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
            assertThat(socket.getInputStream().readAllBytes().length).isLessThan(64);
        }
        Pong pong =
                client.call(address, new Ping("after", 0), Pong.class, 20_000).get(20, TimeUnit.SECONDS);
        assertThat(pong.text()).isEqualTo("after");
        assertThat(pong.bytes()).isEqualTo(new byte[] {1, 2, 3});
    }

    private static WagtailcartException failureOf(CompletableFuture<?> future) {
        ExecutionException error = assertThrows(ExecutionException.class, () -> future.get(30, TimeUnit.SECONDS));
        return (WagtailcartException) error.getCause();
    }
}
