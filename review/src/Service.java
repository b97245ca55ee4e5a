import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;

/** Stand-in for a replica of a plain service. It runs each request that it accepts and records it. */
final class Service implements AutoCloseable {
    /**
     * A request that the replica ran.
     *
     * @param id value of X-Request-Id
     * @param line method and target
     * @param body the body
     */
    record Run(String id, String line, String body) {}

    final List<Run> runs = new CopyOnWriteArrayList<>();
    volatile long workMillis = 30;
    private final HttpServer server;

    Service(Fleet fleet, String id, String service, int slots, String ip, int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, port), 64);
        server.setExecutor(Executors.newCachedThreadPool(HostList::daemon));
        server.createContext("/", exchange -> {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
            String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
            exchange.getResponseHeaders().set("X-Request-Id", String.valueOf(requestId));
            if (expected != null && !expected.equals(id)) {
                exchange.getResponseHeaders().set("X-Not-Executed", "1");
                exchange.sendResponseHeaders(421, -1);
                exchange.close();
                return;
            }
            String line = exchange.getRequestMethod() + " " + exchange.getRequestURI();
            runs.add(new Run(requestId, line, body));
            fleet.log(id + " runs " + requestId + ": " + line + ", body of " + body.length() + " bytes");
            try {
                Thread.sleep(workMillis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            byte[] answer = ("answer to " + requestId).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("X-Server-Stamp", "stamp-" + id + "-" + requestId);
            exchange.sendResponseHeaders(200, answer.length);
            exchange.getResponseBody().write(answer);
            exchange.close();
        });
        server.start();
        fleet.add(this);
        fleet.hosts.put(id, service, ip + ":" + port, slots, "ready", null);
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
