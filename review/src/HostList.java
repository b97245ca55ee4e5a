import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/** Stand-in for the platform's list of replicas. */
final class HostList implements AutoCloseable {
    private final HttpServer server;
    private final String address;
    private final Fleet fleet;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private long drainingReadMillis = -1;

    HostList(Fleet fleet, String ip, int port) throws IOException {
        this.fleet = fleet;
        address = ip + ":" + port;
        server = HttpServer.create(new InetSocketAddress(ip, port), 64);
        server.setExecutor(Executors.newCachedThreadPool(HostList::daemon));
        server.createContext("/instances", exchange -> {
            byte[] body = json().getBytes(StandardCharsets.UTF_8);
            recordDraining(new String(body, StandardCharsets.UTF_8));
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
        fleet.add(this);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    String address() {
        return address;
    }

    /** Adds or replaces an entry; {@code stage} is null for a plain service. */
    synchronized void put(String id, String service, String at, int slots, String state, String stage) {
        String engine = stage == null
                ? ""
                : ",\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
        entries.put(
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + at + "\",\"zone\":\"" + Fleet.ZONE
                        + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                        + "\",\"cold_left_ms\":0" + engine + ",\"id\":\"" + id + "\"}");
    }

    /** Returns when the list with a draining replica was first handed out, -1 if it wasn't. */
    synchronized long drainingReadMillis() {
        return drainingReadMillis;
    }

    private synchronized void recordDraining(String list) {
        if (drainingReadMillis < 0 && list.contains("\"draining\"")) {
            drainingReadMillis = fleet.millis();
            fleet.log("the list with the draining replica is handed out for the first time");
        }
    }

    synchronized void remove(String id) {
        entries.remove(id);
    }

    private synchronized String json() {
        return entries.values().stream().collect(Collectors.joining(",", "{\"instances\":[", "],\"next\":null}"));
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
