package org.wagtailcart.wire;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Server that accepts connections from peers and passes their requests to a handler. */
public final class PeerServer implements AutoCloseable, PeerConnection.Listener {
    private static final Logger LOG = System.getLogger(PeerServer.class.getName());

    private final IoLoop loop;
    private final MessageCodec codec;
    private final PeerHandler handler;
    private final Executor executor;
    private final WireOptions options;
    private final WireMetrics metrics;
    private final ServerSocketChannel listenChannel;
    private final Set<PeerConnection> connections = ConcurrentHashMap.newKeySet();

    /**
     * Creates a server and binds its port. Requests are handled after {@link #start}.
     *
     * @param executor runs the handler
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when the address cannot be bound
     */
    public PeerServer(
            IoLoop loop,
            Address listen,
            MessageCodec codec,
            PeerHandler handler,
            Executor executor,
            WireOptions options,
            MetricRegistry registry) {
        this.loop = loop;
        this.codec = codec;
        this.handler = handler;
        this.executor = executor;
        this.options = options;
        this.metrics = WireMetrics.register(registry);
        this.listenChannel = loop.bind(listen);
    }

    /** Starts handling requests, including those of peers that are already connected. */
    public void start() {
        loop.startAccepting(listenChannel, this::onAccepted);
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Closes the listener and all connections. */
    @Override
    public void close() {
        try {
            listenChannel.close();
        } catch (IOException e) {
            LOG.log(Level.DEBUG, LogEvent.of("listener-close-failed", "reason", e.getMessage()));
        }
        List.copyOf(connections)
                .forEach(connection -> connection.closeAsync(
                        new WagtailcartException(ResultCode.CONNECTION_LOST, "this process is stopping")));
    }

    private void onAccepted(SocketChannel channel) {
        String remote = String.valueOf(channel.socket().getRemoteSocketAddress());
        PeerConnection connection = new PeerConnection(loop, channel, remote, options, metrics, this);
        connections.add(connection);
        connection.startAccepted();
    }

    @Override
    public void onConnected(PeerConnection connection) {
        LOG.log(Level.DEBUG, LogEvent.of("peer-connected", "peer", connection.remote()));
    }

    @Override
    public void onFrame(PeerConnection connection, Frame frame) {
        switch (frame.kind()) {
            case REQUEST -> startExchange(connection, frame);
            case CANCEL -> cancelExchange(connection, frame.exchangeId());
            default ->
                throw new WagtailcartException(
                        ResultCode.FRAME_MALFORMED, "frame kind " + frame.kind() + " is not valid from a client");
        }
    }

    @Override
    public void onClosed(PeerConnection connection, WagtailcartException reason) {
        connections.remove(connection);
        List.copyOf(connection.exchanges().keySet()).forEach(id -> cancelExchange(connection, id));
    }

    private static void cancelExchange(PeerConnection connection, long exchangeId) {
        Object exchange = connection.exchanges().remove(exchangeId);
        if (exchange != null) {
            ((ServerExchange) exchange).cancelled();
        }
    }

    private void startExchange(PeerConnection connection, Frame frame) {
        ServerExchange exchange = new ServerExchange(connection, codec, frame.exchangeId());
        connection.exchanges().put(frame.exchangeId(), exchange);
        connection.advanceNextPing();
        try {
            executor.execute(() -> handle(exchange, frame));
        } catch (RejectedExecutionException e) {
            exchange.fail(new WagtailcartException(ResultCode.SHUTTING_DOWN, "this process is stopping"));
        }
    }

    private void handle(ServerExchange exchange, Frame frame) {
        try {
            handler.handle(exchange, codec.decode(frame.typeNumber(), frame.payload()));
        } catch (WagtailcartException e) {
            exchange.fail(e);
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, LogEvent.of("handler-error", "peer", exchange.peer(), "reason", e), e);
            exchange.fail(new WagtailcartException(ResultCode.INTERNAL_ERROR, "request handler failed: " + e, e));
        }
    }
}
