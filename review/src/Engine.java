import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Stand-in for a model replica that behaves as the users' pages say: it prefills one prompt after the other, at the
 * speed of the site's engines, and streams one event a step of 13 tokens.
 */
final class Engine implements AutoCloseable {
    private static final double TOKENS_PER_MILLI = 48.2;
    private static final double MILLIS_PER_MILLION_PAIRS = 0.248;
    private static final long EVENT_MILLIS = 40;

    /** Called when a request arrives, before it is worked on. */
    interface Arrivals {
        void onArrival(Engine engine, String requestId, boolean prefill);
    }

    final String id;
    final String stage;
    private final Fleet fleet;
    private final String service;
    private final int slots;
    private final int events;
    private final String address;
    private final Arrivals arrivals;
    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool(HostList::daemon);
    private final ReentrantLock prefill = new ReentrantLock(true);
    private final Map<String, String> handles = new ConcurrentHashMap<>();
    private final Set<String> completed = ConcurrentHashMap.newKeySet();

    Engine(
            Fleet fleet,
            String id,
            String service,
            String stage,
            int slots,
            int events,
            String ip,
            int port,
            Arrivals arrivals)
            throws IOException {
        this.fleet = fleet;
        this.id = id;
        this.service = service;
        this.stage = stage;
        this.slots = slots;
        this.events = events;
        this.arrivals = arrivals;
        address = ip + ":" + port;
        server = HttpServer.create(new InetSocketAddress(ip, port), 64);
        server.setExecutor(executor);
        server.createContext("/", exchange -> {
            try {
                handle(exchange);
            } catch (InterruptedException | IOException e) {
                // The channel is closed without an end.
            } finally {
                exchange.close();
            }
        });
        server.start();
        fleet.add(this);
        list("ready");
    }

    /** Shows the engine in the list of replicas with a state. */
    void list(String state) {
        fleet.hosts.put(id, service, address, slots, state, stage);
    }

    boolean hasCompleted(String requestId) {
        return completed.contains(requestId);
    }

    private void handle(HttpExchange exchange) throws IOException, InterruptedException {
        byte[] ignored = exchange.getRequestBody().readAllBytes();
        String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
        String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
        if (requestId != null) {
            exchange.getResponseHeaders().set("X-Request-Id", requestId);
        }
        if (expected != null && !expected.equals(id)) {
            exchange.getResponseHeaders().set("X-Not-Executed", "1");
            send(exchange, 421, "");
            return;
        }
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/api/report")) {
            send(
                    exchange,
                    200,
                    "{\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                            + "\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0,\"kv_used\":0,"
                            + "\"kv_total\":486646,\"kv_handles\":" + handles.size() + "}");
        } else if (path.equals("/api/kv-list")) {
            send(exchange, 200, "{\"epoch\":\"e\",\"next\":0,\"held\":[]}");
        } else if (path.startsWith("/api/kv-handle/")) {
            handles.remove(path.substring("/api/kv-handle/".length()));
            send(exchange, 200, "{}");
        } else if (path.startsWith("/api/")) {
            send(exchange, 404, "{}");
        } else {
            handleRequest(exchange, requestId);
        }
    }

    private void handleRequest(HttpExchange exchange, String requestId) throws IOException, InterruptedException {
        boolean prefillOnly = "prefill".equals(exchange.getRequestHeaders().getFirst("X-Stage"));
        arrivals.onArrival(this, requestId, prefillOnly);
        if (prefillOnly != stage.equals("prefill")) {
            exchange.getResponseHeaders().set("X-Not-Executed", "1");
            send(exchange, 421, "");
            return;
        }
        int tokens = Integer.parseInt(
                exchange.getRequestHeaders().getFirst("X-Token-Count").split(",")[0]);
        if (prefillOnly) {
            prefill(tokens, 1);
            String handle = UUID.randomUUID().toString().substring(0, 12);
            handles.put(handle, requestId);
            send(exchange, 200, "{\"kv_handle\":\"" + handle + "\",\"tokens\":" + tokens + ",\"version\":1}");
            return;
        }
        if (exchange.getRequestHeaders().getFirst("X-Kv-Source") == null) {
            prefill(tokens, 2);
        } else {
            Thread.sleep(80);
        }
        stream(exchange, requestId);
    }

    private void prefill(int tokens, double slowdown) throws InterruptedException {
        prefill.lock();
        try {
            double pairsInMillions = (double) tokens * tokens / 2 / 1_000_000;
            Thread.sleep((long) (slowdown * (tokens / TOKENS_PER_MILLI + pairsInMillions * MILLIS_PER_MILLION_PAIRS)));
        } finally {
            prefill.unlock();
        }
    }

    private void stream(HttpExchange exchange, String requestId) throws IOException, InterruptedException {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.getResponseHeaders().set("X-Server-Stamp", "stamp-" + id + "-" + requestId);
        exchange.getResponseHeaders().set("X-Weights-Version", "1");
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        for (int i = 0; i < events; i++) {
            out.write(("id: " + i + "\ndata: " + requestId + " " + i + "\n\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
            Thread.sleep(EVENT_MILLIS);
        }
        completed.add(requestId);
        out.close();
    }

    private static void send(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
    }

    /** Ends the replica: closes the listener and all channels. */
    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
