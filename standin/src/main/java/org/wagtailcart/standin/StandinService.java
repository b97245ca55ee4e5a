package org.wagtailcart.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** Stand-in server for a plain service; it counts how many requests ran with each {@code Idempotency-Key}. */
public final class StandinService implements AutoCloseable {
    private static final long STALL_MILLIS = 600_000;

    /**
     * JSON body of every response.
     *
     * @param method method of the request
     * @param path path of the request
     * @param key its Idempotency-Key, empty for none
     * @param bodyHash 64-bit FNV-1a hash of its body, in hexadecimal digits
     * @param run how many requests with that key ran, this one included
     */
    public record ServiceResponse(String method, String path, String key, String bodyHash, long run) {}

    private final ServiceOptions options;
    private final FaultInjector faults = new FaultInjector();
    private final Map<String, AtomicLong> runs = new ConcurrentHashMap<>();
    private volatile @Nullable HttpListener listener;

    /** Creates a service without starting it. */
    public StandinService(ServiceOptions options) {
        this.options = options;
    }

    /** Opens the listener; the counts of an earlier start are kept. */
    public synchronized void start() {
        listener = new HttpListener(options.listen(), this::handle);
    }

    /** Stops immediately and closes all connections. */
    @Override
    public synchronized void close() {
        HttpListener current = listener;
        listener = null;
        if (current != null) {
            current.close();
        }
    }

    /** Injects a fault into the next requests. */
    public void fault(Fault fault) {
        faults.set(fault);
    }

    /** Returns the number of requests that ran, by idempotency key. */
    public Map<String, Long> runs() {
        Map<String, Long> counts = new TreeMap<>();
        runs.forEach((key, count) -> counts.put(key, count.get()));
        return counts;
    }

    private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
        switch (exchange.getRequestPath()) {
            case "/standin/runs" -> HttpListener.respond(exchange, 200, runs());
            case "/standin/faults" -> {
                fault(Json.read(HttpListener.body(exchange), FaultBody.class).toFault());
                HttpListener.respond(exchange, 200, runs());
            }
            default -> serve(exchange);
        }
    }

    private void serve(HttpServerExchange exchange) throws IOException, InterruptedException {
        byte[] body = HttpListener.body(exchange);
        await(faults.consume(FaultKind.DELAY).map(Fault::delayMillis).orElse(0L));
        if (faults.consume(FaultKind.RESET_BEFORE).isPresent()) {
            HttpListener.abort(exchange);
            return;
        }
        await(options.workMillis());
        ServiceResponse answer = run(exchange, body);
        if (faults.consume(FaultKind.SILENT).isPresent()) {
            await(STALL_MILLIS);
        }
        boolean crash = faults.consume(FaultKind.CRASH).isPresent();
        if (crash || faults.consume(FaultKind.RESET_AFTER).isPresent()) {
            crashIf(crash);
            HttpListener.abort(exchange);
            return;
        }
        echoRequestId(exchange);
        if (faults.consume(FaultKind.RETRY_AT_ONCE).isPresent()) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "0");
            HttpListener.respond(exchange, 503, answer);
            return;
        }
        if (faults.consume(FaultKind.TRUNCATE).isPresent()) {
            sendTruncated(exchange, Json.write(answer));
            return;
        }
        HttpListener.respond(exchange, 200, answer);
    }

    private ServiceResponse run(HttpServerExchange exchange, byte[] body) {
        String header = exchange.getRequestHeaders().getFirst(HttpListener.IDEMPOTENCY_KEY);
        String key = header == null ? "" : header;
        long run = key.isEmpty()
                ? 1
                : runs.computeIfAbsent(key, unused -> new AtomicLong()).incrementAndGet();
        return new ServiceResponse(
                exchange.getRequestMethod().toString(), exchange.getRequestPath(), key, hashOf(body), run);
    }

    /** Returns the hash of a request body, as {@link ServiceResponse#bodyHash} holds it. */
    public static String hashOf(byte[] body) {
        return Long.toHexString(Tokens.hash(Tokens.emptyHash(), new String(body, UTF_8)));
    }

    private static void echoRequestId(HttpServerExchange exchange) {
        Optional.ofNullable(exchange.getRequestHeaders().getFirst(HttpListener.REQUEST_ID))
                .ifPresent(id -> exchange.getResponseHeaders().put(HttpListener.REQUEST_ID, id));
    }

    private static void sendTruncated(HttpServerExchange exchange, byte[] bytes) throws IOException {
        exchange.setResponseContentLength(bytes.length);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        OutputStream out = exchange.getOutputStream();
        out.write(bytes, 0, bytes.length / 2);
        out.flush();
        HttpListener.abort(exchange);
    }

    private void await(long millis) throws InterruptedException {
        HttpListener current = listener;
        if (millis > 0 && current != null) {
            current.await(millis);
        }
    }

    private void crashIf(boolean condition) {
        if (condition && options.exitOnCrash()) {
            Runtime.getRuntime().halt(137);
        }
        if (condition) {
            // close() waits for the worker threads, so it would deadlock on one of them.
            new Thread(this::close, "service-crash").start();
        }
    }
}
