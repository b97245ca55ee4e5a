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

/** Keeps a request off a connection that the upstream has closed, or on which bytes of no request have arrived. */
final class StaleConnectionInterceptor implements Interceptor {
    private static final int CHECK_MILLIS = 1;

    private final Set<Connection> used = Collections.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));

    /** The connection cannot be used; the request was not written. */
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
            ConnectionReuse use = chain.request().tag(ConnectionReuse.class);
            if (use != null) {
                use.markReused();
            }
        }
        return chain.proceed(chain.request());
    }

    private static void check(Socket socket, int readTimeoutMillis) throws IOException {
        socket.setSoTimeout(CHECK_MILLIS);
        try {
            int next = socket.getInputStream().read();
            throw new StaleConnectionException(next < 0 ? "upstream closed the connection" : "unexpected bytes");
        } catch (SocketTimeoutException e) {
            socket.setSoTimeout(readTimeoutMillis);
        }
    }
}
