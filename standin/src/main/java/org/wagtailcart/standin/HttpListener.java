package org.wagtailcart.standin;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.xnio.IoUtils;
import org.xnio.Options;

/** HTTP server of a stand-in. Handlers may block; closing the server closes the connections of pending requests. */
final class HttpListener implements AutoCloseable {
    static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
    static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

    private static final int WORKER_THREADS = 256;
    private static final long WORKER_STACK_BYTES = 256 << 10;

    /** Handles requests on worker threads. */
    @FunctionalInterface
    interface Handler {
        void handle(HttpServerExchange exchange) throws IOException, InterruptedException;
    }

    private final Undertow server;
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    private final CountDownLatch closed = new CountDownLatch(1);

    HttpListener(Address listen, Handler handler) {
        HttpHandler blocking = new BlockingHandler(exchange -> run(handler, exchange));
        server = Undertow.builder()
                .addHttpListener(listen.port(), listen.ip())
                .setIoThreads(1)
                .setWorkerOption(Options.WORKER_TASK_CORE_THREADS, 4)
                .setWorkerOption(Options.WORKER_TASK_MAX_THREADS, WORKER_THREADS)
                .setWorkerOption(Options.STACK_SIZE, WORKER_STACK_BYTES)
                .setHandler(exchange -> {
                    track(exchange.getConnection());
                    blocking.handleRequest(exchange);
                })
                .build();
        server.start();
    }

    /** Waits for the given time; returns false as soon as the listener is closed. */
    boolean await(long millis) throws InterruptedException {
        return !closed.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Closes all connections immediately and stops listening. */
    @Override
    public void close() {
        closed.countDown();
        List.copyOf(connections).forEach(IoUtils::safeClose);
        server.stop();
    }

    private void track(ServerConnection connection) {
        if (connections.add(connection)) {
            connection.addCloseListener(connections::remove);
        }
    }

    private static void run(Handler handler, HttpServerExchange exchange) {
        try {
            handler.handle(exchange);
        } catch (WagtailcartException e) {
            respond(exchange, e.code().httpStatus(), new ErrorBody(String.valueOf(e.getMessage())));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            abort(exchange);
        } catch (IOException | RuntimeException e) {
            // The client disconnected or the listener was closed, so no response can be sent.
            abort(exchange);
        }
    }

    /** Closes the connection of a request without completing the response. */
    static void abort(HttpServerExchange exchange) {
        IoUtils.safeClose(exchange.getConnection());
    }

    /**
     * Returns a query parameter.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when it is missing
     */
    static String query(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        if (values == null) {
            throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "query parameter " + name + " is missing");
        }
        return values.getFirst();
    }

    /**
     * Returns a query parameter as an integer.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when it is missing or not an integer
     */
    static long queryLong(HttpServerExchange exchange, String name) {
        String value = query(exchange, name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "query parameter " + name + "=" + value + " is not an integer", e);
        }
    }

    /** Returns the full body of a request. */
    static byte[] body(HttpServerExchange exchange) throws IOException {
        return exchange.getInputStream().readAllBytes();
    }

    /** Sends a JSON response; closes the connection when that fails. */
    static void respond(HttpServerExchange exchange, int status, Object value) {
        byte[] bytes = Json.write(value);
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.setResponseContentLength(bytes.length);
        try {
            exchange.getOutputStream().write(bytes);
            exchange.endExchange();
        } catch (IOException e) {
            abort(exchange);
        }
    }

    /** JSON body of an error response. */
    record ErrorBody(String error) {}
}
