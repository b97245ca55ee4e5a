package org.wagtailcart.wire;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;

/** Client for requests to peers. It opens one connection per address on first use and a new one after a failure. */
public final class PeerClient implements AutoCloseable, PeerConnection.Listener {
    private static final Logger LOG = System.getLogger(PeerClient.class.getName());

    private final IoLoop loop;
    private final MessageCodec codec;
    private final Executor executor;
    private final WireOptions options;
    private final WireMetrics metrics;
    private final AtomicLong nextExchangeId = new AtomicLong(1);
    private final Map<Address, PeerConnection> connections = new ConcurrentHashMap<>();

    /**
     * Creates a client that has no connections yet.
     *
     * @param executor runs the listeners; the events of one exchange run in order
     */
    public PeerClient(
            IoLoop loop, MessageCodec codec, Executor executor, WireOptions options, MetricRegistry registry) {
        this.loop = loop;
        this.codec = codec;
        this.executor = executor;
        this.options = options;
        this.metrics = WireMetrics.register(registry);
    }

    /**
     * Sends a request that has a single reply. The future fails with a {@link WagtailcartException} whose run state is
     * {@link RunState#NOT_RUN} only when no byte of the request left this process or the peer reported it.
     *
     * @param timeoutMillis time after which the call fails with {@link ResultCode#CALL_DEADLINE_EXCEEDED}
     */
    public <T> CompletableFuture<T> call(Address to, Object request, Class<T> responseType, long timeoutMillis) {
        CompletableFuture<T> future = new CompletableFuture<>();
        Call call = open(to, request, new SingleResponseListener<>(future, responseType));
        CompletableFuture.delayedExecutor(timeoutMillis, TimeUnit.MILLISECONDS, executor)
                .execute(() -> expire(future, call, to));
        return future;
    }

    /** Sends a request that has a streamed response, and returns the handle that cancels it. */
    public Call open(Address to, Object request, StreamListener listener) {
        long exchangeId = nextExchangeId.getAndIncrement();
        Frame frame = new Frame(FrameKind.REQUEST, exchangeId, codec.typeNumber(request), codec.encode(request));
        ClientExchange exchange = new ClientExchange(codec, new SerialExecutor(executor), listener);
        PeerConnection connection;
        try {
            connection = connectionTo(to);
        } catch (IOException e) {
            exchange.fail(new WagtailcartException(ResultCode.CONNECT_FAILED, "cannot connect to " + to, e));
            return () -> {};
        }
        boolean wasIdle = connection.exchanges().isEmpty();
        connection.exchanges().put(exchangeId, exchange);
        sendRequest(connection, frame, exchange);
        if (wasIdle) {
            connection.advanceNextPing();
        }
        return () -> cancel(connection, exchangeId);
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Closes all connections; open calls fail. */
    @Override
    public void close() {
        List.copyOf(connections.values())
                .forEach(connection -> connection.closeAsync(
                        new WagtailcartException(ResultCode.CONNECTION_LOST, "this process is stopping")));
    }

    @Override
    public void onConnected(PeerConnection connection) {
        loop.submit(() -> connection.exchanges().values().forEach(exchange -> ((ClientExchange) exchange)
                .sendDeferred(connection)));
    }

    @Override
    public void onFrame(PeerConnection connection, Frame frame) {
        ClientExchange exchange = exchangeOf(connection, frame);
        if (exchange != null) {
            exchange.receive(frame);
        }
    }

    @Override
    public void onClosed(PeerConnection connection, WagtailcartException reason) {
        connections.values().remove(connection);
        LOG.log(
                Level.DEBUG,
                LogEvent.of(
                        "peer-connection-closed",
                        "peer",
                        connection.remote(),
                        "code",
                        reason.code().number()));
        List.copyOf(connection.exchanges().keySet()).forEach(id -> {
            Object exchange = connection.exchanges().remove(id);
            if (exchange != null) {
                ((ClientExchange) exchange).onConnectionClosed(reason);
            }
        });
    }

    private static @Nullable ClientExchange exchangeOf(PeerConnection connection, Frame frame) {
        return switch (frame.kind()) {
            case EVENT -> (ClientExchange) connection.exchanges().get(frame.exchangeId());
            case END, ERROR -> (ClientExchange) connection.exchanges().remove(frame.exchangeId());
            default ->
                throw new WagtailcartException(
                        ResultCode.FRAME_MALFORMED, "frame kind " + frame.kind() + " is not valid from a server");
        };
    }

    private static void sendRequest(PeerConnection connection, Frame frame, ClientExchange exchange) {
        try {
            exchange.send(connection, frame);
        } catch (WagtailcartException e) {
            connection.exchanges().remove(frame.exchangeId());
            exchange.fail(new WagtailcartException(e.code(), RunState.NOT_RUN, String.valueOf(e.getMessage())));
        }
        WagtailcartException closed = connection.closeReason();
        if (closed != null && connection.exchanges().remove(frame.exchangeId()) != null) {
            exchange.onConnectionClosed(closed);
        }
    }

    private void cancel(PeerConnection connection, long exchangeId) {
        if (connection.exchanges().remove(exchangeId) != null) {
            connection.send(Frame.withoutPayload(FrameKind.CANCEL, exchangeId));
        }
    }

    private static <T> void expire(CompletableFuture<T> future, Call call, Address to) {
        if (!future.isDone()) {
            call.cancel();
            future.completeExceptionally(new WagtailcartException(
                    ResultCode.CALL_DEADLINE_EXCEEDED, "no reply from " + to + " within the timeout"));
        }
    }

    private synchronized PeerConnection connectionTo(Address to) throws IOException {
        PeerConnection existing = connections.get(to);
        if (existing != null && !existing.isClosed()) {
            return existing;
        }
        SocketChannel channel = SocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.connect(to.toSocketAddress());
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        PeerConnection connection = new PeerConnection(loop, channel, to.toString(), options, metrics, this);
        connections.put(to, connection);
        loop.submit(connection::startConnecting);
        return connection;
    }
}
