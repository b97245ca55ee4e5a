package org.wagtailcart.entry.answer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.conduits.StreamSourceConduit;

/** Notices that a caller disconnects while its response is not complete; the server itself reads only between requests. */
final class CallerWatch {
    private final HttpServerConnection connection;
    private final HttpServerExchange exchange;
    private final Runnable goneAction;

    private CallerWatch(HttpServerConnection connection, HttpServerExchange exchange, Runnable goneAction) {
        this.connection = connection;
        this.exchange = exchange;
        this.goneAction = goneAction;
    }

    static void watch(HttpServerExchange exchange, Runnable goneAction) {
        exchange.getConnection().addCloseListener(closed -> goneAction.run());
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
