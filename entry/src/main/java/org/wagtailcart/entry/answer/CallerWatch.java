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
final class CallerWatch {
    private static final AttachmentKey<Current> CURRENT = AttachmentKey.create(Current.class);

    private final HttpServerConnection connection;
    private final HttpServerExchange exchange;
    private final Runnable goneAction;

    /** Request in progress on a connection; a connection has one close listener however many requests it carries. */
    private static final class Current {
        private @Nullable Runnable goneAction;

        void watch(HttpServerExchange exchange, Runnable action) {
            goneAction = action;
            exchange.addExchangeCompleteListener((done, next) -> {
                goneAction = null;
                next.proceed();
            });
        }

        void closed() {
            Runnable action = goneAction;
            if (action != null) {
                action.run();
            }
        }
    }

    private CallerWatch(HttpServerConnection connection, HttpServerExchange exchange, Runnable goneAction) {
        this.connection = connection;
        this.exchange = exchange;
        this.goneAction = goneAction;
    }

    private static Current currentOf(ServerConnection connection) {
        Current known = connection.getAttachment(CURRENT);
        if (known != null) {
            return known;
        }
        Current current = new Current();
        connection.putAttachment(CURRENT, current);
        connection.addCloseListener(closed -> current.closed());
        return current;
    }

    static void watch(HttpServerExchange exchange, Runnable goneAction) {
        currentOf(exchange.getConnection()).watch(exchange, goneAction);
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            CallerWatch watch = new CallerWatch(connection, exchange, goneAction);
            connection.getChannel().getSourceChannel().getReadSetter().set(channel -> watch.readable());
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    /** Reads below the request's own conduit, which reports the end of the request body only. */
    private void readable() {
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
                goneAction.run();
            } else if (read > 0) {
                // A pipelined request: put back for the server, which reads it after this response.
                source.suspendReads();
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                kept = true;
            }
        } catch (IOException e) {
            goneAction.run();
        } finally {
            if (!kept) {
                pooled.close();
            }
        }
    }
}
