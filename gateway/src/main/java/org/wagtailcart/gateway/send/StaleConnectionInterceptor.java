package org.wagtailcart.gateway.send;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Collections;
import java.util.Set;
import java.util.WeakHashMap;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Interceptor that rejects a pooled connection before a request is written to it if the upstream has closed it or has
 * sent bytes that belong to no request.
 */
final class StaleConnectionInterceptor implements Interceptor {
    private static final int CHECK_MILLIS = 1;

    private final Set<Connection> used = Collections.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));

    /** Thrown before the request is written, because the connection cannot be used. */
    static final class StaleConnectionException extends IOException {
        private static final long serialVersionUID = 1L;

        StaleConnectionException(String message) {
            super(message);
        }
    }

    @Override
    public Response intercept(Chain chain) throws IOException {
        Connection connection = chain.connection();
        if (connection != null && !used.add(connection)) {
            check(connection.socket(), chain.readTimeoutMillis());
            ConnectionReuse reuse = chain.request().tag(ConnectionReuse.class);
            if (reuse != null) {
                reuse.markReused();
            }
        }
        return chain.proceed(chain.request());
    }

    private static void check(Socket socket, int readTimeoutMillis) throws IOException {
        socket.setSoTimeout(CHECK_MILLIS);
        try {
            int next = socket.getInputStream().read();
            throw new StaleConnectionException(
                    next < 0 ? "upstream closed the connection" : "unexpected bytes on an idle connection");
        } catch (SocketTimeoutException e) {
            socket.setSoTimeout(readTimeoutMillis);
        }
    }
}
