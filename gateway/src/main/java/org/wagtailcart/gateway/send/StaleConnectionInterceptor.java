package org.wagtailcart.gateway.send;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.Collections;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.wagtailcart.common.MillisClock;

/**
 * Interceptor that rejects a pooled connection before a request is written to it if a response on it may not belong to
 * the request: the upstream has closed it, may be about to close it, or has sent bytes that belong to no request, or the
 * connection has carried a request with the same id, whose response may come once more.
 */
final class StaleConnectionInterceptor implements Interceptor {
    private static final int CHECK_MILLIS = 1;

    private final MillisClock clock;
    private final AtomicLong connections = new AtomicLong();
    private final Map<Connection, ConnectionHistory> histories = Collections.synchronizedMap(new WeakHashMap<>());

    /** Reason why a pooled connection is not used for a request. */
    enum Reason {
        CLOSED("upstream closed the connection", false),
        UNEXPECTED_BYTES("unexpected bytes on an idle connection", true),
        SAME_ID("the connection has carried a request with the same id", true),
        IDLE("the connection has been idle for too long", false),
        WORN_OUT("the connection has carried as many requests as it may", false);

        private final String text;
        private final boolean needsNewConnection;

        Reason(String text, boolean needsNewConnection) {
            this.text = text;
            this.needsNewConnection = needsNewConnection;
        }

        /** Returns whether the request needs a new connection, since other pooled ones may not do either. */
        boolean needsNewConnection() {
            return needsNewConnection;
        }
    }

    /** Thrown before the request is written, because the connection cannot be used. */
    static final class StaleConnectionException extends IOException {
        private static final long serialVersionUID = 1L;

        private final Reason reason;

        StaleConnectionException(Reason reason) {
            super(reason.text);
            this.reason = reason;
        }

        Reason reason() {
            return reason;
        }
    }

    StaleConnectionInterceptor(MillisClock clock) {
        this.clock = clock;
    }

    @Override
    public Response intercept(Chain chain) throws IOException {
        Connection connection = chain.connection();
        ConnectionUse use = chain.request().tag(ConnectionUse.class);
        if (connection == null || use == null) {
            return chain.proceed(chain.request());
        }
        ConnectionHistory history =
                histories.computeIfAbsent(connection, created -> new ConnectionHistory(connections.incrementAndGet()));
        use.set(history.number(), history.requests());
        if (use.reused()) {
            if (history.hasCarried(use.requestId())) {
                throw new StaleConnectionException(Reason.SAME_ID);
            }
            if (history.isFull()) {
                throw new StaleConnectionException(Reason.WORN_OUT);
            }
            UpstreamTimeouts timeouts = chain.request().tag(UpstreamTimeouts.class);
            if (history.isExpired(clock.nowMillis(), timeouts == null ? Long.MAX_VALUE : timeouts.idleMillis())) {
                throw new StaleConnectionException(Reason.IDLE);
            }
            check(connection.socket(), chain.readTimeoutMillis());
        }
        history.add(use.requestId());
        // A connection without a response body may be back in the pool before the response is returned.
        history.idleFrom(clock.nowMillis(), "");
        Response response = chain.proceed(chain.request());
        String keepAlive = response.header("Keep-Alive", "");
        history.idleFrom(clock.nowMillis(), keepAlive);
        use.onIdle(() -> history.idleFrom(clock.nowMillis(), keepAlive));
        return response;
    }

    private static void check(Socket socket, int readTimeoutMillis) throws IOException {
        socket.setSoTimeout(CHECK_MILLIS);
        try {
            int next = socket.getInputStream().read();
            throw new StaleConnectionException(next < 0 ? Reason.CLOSED : Reason.UNEXPECTED_BYTES);
        } catch (SocketTimeoutException e) {
            socket.setSoTimeout(readTimeoutMillis);
        } catch (SocketException e) {
            throw new StaleConnectionException(Reason.CLOSED);
        }
    }
}
