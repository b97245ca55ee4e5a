package org.wagtailcart.entry.answer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.ImmediatePooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller disconnects before its response is complete. The server itself reads from a connection only
 * between requests.
 */
final class DisconnectDetector {
    private static final AttachmentKey<ActiveRequest> ACTIVE_REQUEST = AttachmentKey.create(ActiveRequest.class);
    /** Bytes of later requests on a connection after which a disconnect is no longer detected. */
    private static final int MAX_PIPELINED_BYTES = 64 << 10;

    private final HttpServerConnection connection;
    private final HttpServerExchange exchange;
    private final Runnable disconnectAction;

    /** Request in progress on a connection, attached to it so that one close listener serves all requests on it. */
    private static final class ActiveRequest {
        private @Nullable Runnable disconnectAction;

        void watch(HttpServerExchange exchange, Runnable action) {
            disconnectAction = action;
            exchange.addExchangeCompleteListener((done, next) -> {
                disconnectAction = null;
                next.proceed();
            });
        }

        void onClosed() {
            Runnable action = disconnectAction;
            if (action != null) {
                action.run();
            }
        }
    }

    private DisconnectDetector(
            HttpServerConnection connection, HttpServerExchange exchange, Runnable disconnectAction) {
        this.connection = connection;
        this.exchange = exchange;
        this.disconnectAction = disconnectAction;
    }

    private static ActiveRequest activeRequestOf(ServerConnection connection) {
        ActiveRequest existing = connection.getAttachment(ACTIVE_REQUEST);
        if (existing != null) {
            return existing;
        }
        ActiveRequest current = new ActiveRequest();
        connection.putAttachment(ACTIVE_REQUEST, current);
        connection.addCloseListener(closed -> current.onClosed());
        return current;
    }

    static void watch(HttpServerExchange exchange, Runnable disconnectAction) {
        activeRequestOf(exchange.getConnection()).watch(exchange, disconnectAction);
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            DisconnectDetector detector = new DisconnectDetector(connection, exchange, disconnectAction);
            connection.getChannel().getSourceChannel().getReadSetter().set(channel -> detector.onReadable());
            connection.getOriginalSourceConduit().resumeReads();
            // A request that waited in the socket's buffer may be followed by the end of the connection already.
            detector.onReadable();
        }
    }

    /** Reads from the connection below the conduit of the request, which reports only the end of the request body. */
    private void onReadable() {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        if (exchange.isComplete()) {
            return;
        }
        try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
            int read = source.read(pooled.getBuffer());
            if (read < 0) {
                source.suspendReads();
                disconnectAction.run();
            } else if (read > 0) {
                returnToServer(pooled.getBuffer().flip());
            }
        } catch (IOException e) {
            disconnectAction.run();
        }
    }

    /**
     * Returns bytes of pipelined requests to the server, which reads them after this response. They follow those that
     * the server holds already: in another order, a body could be parsed as a request.
     */
    private void returnToServer(ByteBuffer received) {
        PooledByteBuffer held = connection.getExtraBytes();
        int heldBytes = held == null ? 0 : held.getBuffer().remaining();
        ByteBuffer all = ByteBuffer.allocate(heldBytes + received.remaining());
        if (held != null) {
            all.put(held.getBuffer());
            held.close();
        }
        all.put(received).flip();
        connection.setExtraBytes(new ImmediatePooledByteBuffer(all));
        if (all.remaining() >= MAX_PIPELINED_BYTES) {
            connection.getOriginalSourceConduit().suspendReads();
        }
    }
}
