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

/** HTTP listener of a stand-in. Handlers may block; a request without an answer yet is cut when the listener closes. */
final class HttpListener implements AutoCloseable {
    static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
    static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

    private static final int WORKER_THREADS = 256;
    private static final long WORKER_STACK_BYTES = 256 << 10;

    /** Handles one request on a worker thread. */
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

    /** Waits for the given time; returns false when the listener was closed meanwhile. */
    boolean await(long millis) throws InterruptedException {
        return !closed.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Closes all connections at once and stops to listen. */
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
            answer(exchange, e.code().httpStatus(), new ErrorBody(String.valueOf(e.getMessage())));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            cut(exchange);
        } catch (IOException | RuntimeException e) {
            // The peer is gone or the listener was closed; there is nobody to answer.
            cut(exchange);
        }
    }

    /** Closes the connection of a request without an answer. */
    static void cut(HttpServerExchange exchange) {
        IoUtils.safeClose(exchange.getConnection());
    }

    /**
     * Returns a query parameter.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when it is absent
     */
    static String query(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        if (values == null) {
            throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "query parameter " + name + " is absent");
        }
        return values.getFirst();
    }

    /**
     * Returns a query parameter that is a number.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when it is absent or no number
     */
    static long queryNumber(HttpServerExchange exchange, String name) {
        String value = query(exchange, name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "query parameter " + name + "=" + value + " is not a number", e);
        }
    }

    /** Reads the whole body of a request. */
    static byte[] body(HttpServerExchange exchange) throws IOException {
        return exchange.getInputStream().readAllBytes();
    }

    /** Answers with a record as JSON. */
    static void answer(HttpServerExchange exchange, int status, Object value) {
        byte[] bytes = Json.write(value);
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.setResponseContentLength(bytes.length);
        try {
            exchange.getOutputStream().write(bytes);
            exchange.endExchange();
        } catch (IOException e) {
            cut(exchange);
        }
    }

    /** Body of an error answer. */
    record ErrorBody(String error) {}
}
