package org.wagtailcart.gateway.send;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Collections;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Interceptor that rejects a pooled connection before a request is written to it if the upstream has closed it or has
 * sent bytes that belong to no request.
 */
final class StaleConnectionInterceptor implements Interceptor {
    private static final int CHECK_MILLIS = 1;

    private final AtomicLong connections = new AtomicLong();
    private final Map<Connection, ConnectionHistory> histories = Collections.synchronizedMap(new WeakHashMap<>());

    /** Thrown before the request is written, because the connection cannot be used. */
    static final class StaleConnectionException extends IOException {
        private static final long serialVersionUID = 1L;

        private final boolean unexpectedBytes;

        StaleConnectionException(boolean unexpectedBytes) {
            super(unexpectedBytes ? "unexpected bytes on an idle connection" : "upstream closed the connection");
            this.unexpectedBytes = unexpectedBytes;
        }

        /** Returns whether the upstream sent bytes that belong to no request, rather than closing the connection. */
        boolean unexpectedBytes() {
            return unexpectedBytes;
        }
    }

    /** Number of a connection and of the requests that it has carried. Confined to the request that uses it. */
    private static final class ConnectionHistory {
        private final long number;
        private int requests;

        ConnectionHistory(long number) {
            this.number = number;
        }
    }

    @Override
    public Response intercept(Chain chain) throws IOException {
        Connection connection = chain.connection();
        if (connection != null) {
            ConnectionHistory history = histories.computeIfAbsent(
                    connection, created -> new ConnectionHistory(connections.incrementAndGet()));
            ConnectionUse use = chain.request().tag(ConnectionUse.class);
            if (use != null) {
                use.set(history.number, history.requests);
            }
            if (history.requests > 0) {
                check(connection.socket(), chain.readTimeoutMillis());
            }
            history.requests++;
        }
        return chain.proceed(chain.request());
    }

    private static void check(Socket socket, int readTimeoutMillis) throws IOException {
        socket.setSoTimeout(CHECK_MILLIS);
        try {
            int next = socket.getInputStream().read();
            throw new StaleConnectionException(next >= 0);
        } catch (SocketTimeoutException e) {
            socket.setSoTimeout(readTimeoutMillis);
        }
    }
}
