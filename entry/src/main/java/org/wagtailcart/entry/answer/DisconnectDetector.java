package org.wagtailcart.entry.answer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.xnio.conduits.StreamSourceConduit;

/** Notices that a caller disconnects while its response is not complete; the server itself reads only between requests. */
final class DisconnectDetector {
    private static final AttachmentKey<ActiveRequest> ACTIVE_REQUEST = AttachmentKey.create(ActiveRequest.class);

    private final HttpServerConnection connection;
    private final HttpServerExchange exchange;
    private final Runnable disconnectAction;

    /** Request in progress on a connection; a connection has one close listener however many requests it carries. */
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

    private DisconnectDetector(HttpServerConnection connection, HttpServerExchange exchange, Runnable goneAction) {
        this.connection = connection;
        this.exchange = exchange;
        this.disconnectAction = goneAction;
    }

    private static ActiveRequest activeRequestOf(ServerConnection connection) {
        ActiveRequest known = connection.getAttachment(ACTIVE_REQUEST);
        if (known != null) {
            return known;
        }
        ActiveRequest current = new ActiveRequest();
        connection.putAttachment(ACTIVE_REQUEST, current);
        connection.addCloseListener(closed -> current.onClosed());
        return current;
    }

    static void watch(HttpServerExchange exchange, Runnable goneAction) {
        activeRequestOf(exchange.getConnection()).watch(exchange, goneAction);
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            DisconnectDetector watch = new DisconnectDetector(connection, exchange, goneAction);
            connection.getChannel().getSourceChannel().getReadSetter().set(channel -> watch.onReadable());
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    /** Reads below the request's own conduit, which reports the end of the request body only. */
    private void onReadable() {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        if (exchange.isComplete()) {
            return;
        }
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean kept = false;
        try {
            int read = source.read(pooled.getBuffer());
            if (read < 0) {
                source.suspendReads();
                disconnectAction.run();
            } else if (read > 0) {
                // A pipelined request: put back for the server, which reads it after this response.
                source.suspendReads();
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                kept = true;
            }
        } catch (IOException e) {
            disconnectAction.run();
        } finally {
            if (!kept) {
                pooled.close();
            }
        }
    }
}
