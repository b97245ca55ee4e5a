import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A replica is shown as draining while the prompt of a request is read at another replica. Checks that no request
 * reaches the leaving replica later than drain_ms after the list with the draining replica was first read.
 */
public final class DrainCase {
    private static final long DRAIN_MILLIS = 3_000;
    private static final long LINGER_MILLIS = 1_200;
    private static final int EVENTS = 12;
    private static final int SLOTS = 24;
    private static final String HOST = "models.example";

    private static final Map<String, Long> LATE = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(arguments[0], 3);
        Engine.Arrivals arrivals = (engine, requestId, prefill) -> {
            long now = fleet.millis();
            fleet.log(engine.id + " got " + (prefill ? "prompt of " : "request ") + requestId);
            long readMillis = fleet.hosts.drainingReadMillis();
            if (engine.id.equals("i-decode-1") && readMillis >= 0 && now - readMillis > DRAIN_MILLIS) {
                LATE.put(requestId, now - readMillis);
            }
        };
        int port = Fleet.freePorts(1)[0];
        new Engine(fleet, "i-prefill-1", "models", "prefill", SLOTS, EVENTS, "127.0.30.1", port, arrivals);
        new Engine(fleet, "i-prefill-2", "models", "prefill", SLOTS, EVENTS, "127.0.30.4", port, arrivals);
        Engine leaving = new Engine(fleet, "i-decode-1", "models", "decode", SLOTS, EVENTS, "127.0.30.2", port, arrivals);
        fleet.startAll(1, config());
        Thread.sleep(3_000);

        for (int i = 0; i < 3; i++) {
            fleet.log("answer to r-warm-" + i + ": " + send(fleet, "r-warm-" + i, 4_000).join());
        }
        CompletableFuture<String> first = send(fleet, "r-first", 45_000);
        CompletableFuture<String> other = send(fleet, "r-other", 45_001);
        Thread.sleep(200);
        CompletableFuture<String> second = send(fleet, "r-second", 93_100);
        Thread.sleep(100);
        new Engine(fleet, "i-decode-2", "models", "decode", SLOTS, EVENTS, "127.0.30.3", port, arrivals);
        fleet.log("i-decode-2, the new replica, is in the list");
        if (fleet.trouble) {
            leaving.list("draining");
            fleet.log("the list shows i-decode-1 as draining");
            Thread.sleep(DRAIN_MILLIS + LINGER_MILLIS);
            fleet.hosts.remove("i-decode-1");
            leaving.close();
            fleet.log("i-decode-1 has ended");
        }
        fleet.log("answer to r-first: " + first.join());
        fleet.log("answer to r-other: " + other.join());
        String answer = second.join();
        fleet.log("answer to r-second: " + answer);
        boolean broken = !LATE.isEmpty() || (!fleet.trouble && !answer.startsWith("complete"));
        fleet.finish(
                broken,
                LATE.isEmpty()
                        ? "no request reached i-decode-1 later than drain_ms; r-second: " + answer
                        : "requests that reached i-decode-1 (ms after the list with it as draining was read): " + LATE
                                + "; r-second: " + answer);
    }

    private static String config() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-batch\",\"host\":\"" + HOST
                + "\",\"path_prefix\":\"/batch/\",\"route_type\":\"streaming\",\"timeout_ms\":5000,"
                + "\"target_latency_ms\":800,\"priority\":2,\"service\":\"models\",\"max_attempts\":1,\"sticky\":true,"
                + "\"resumable\":false,\"gap_target_ms\":400}],"
                + "\"services\":[{\"name\":\"models\",\"health_path\":\"/health\",\"max_conns\":360,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":" + SLOTS + ",\"kv_tokens\":486646,"
                + "\"token_kv_bytes\":18432,\"link_mbps\":190000.0,\"moves\":true,\"backups\":true,\"stride\":13,"
                + "\"most\":12,\"handle_ttl_s\":5.0,\"switch_s\":3.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,"
                + "\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }

    private static CompletableFuture<String> send(Fleet fleet, String requestId, int tokens) {
        fleet.log("client sends " + requestId + " with " + tokens + " prompt tokens");
        return CompletableFuture.supplyAsync(() -> {
            try {
                return exchange(fleet, requestId, tokens);
            } catch (IOException e) {
                return "channel broke: " + e.getMessage();
            }
        });
    }

    private static String exchange(Fleet fleet, String requestId, int tokens) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(Fleet.gatewayIp(1), fleet.frontPort), 1_000);
            socket.setSoTimeout(8_000);
            String head = "POST /batch/1 HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + requestId
                    + "\r\nX-Model: m\r\nX-Token-Count: " + tokens + ",260\r\nX-Prompt-Prefix: a" + tokens + ":"
                    + tokens * 3 / 7 + ",b" + tokens + ":" + (tokens - tokens * 3 / 7)
                    + "\r\nX-Deadline-Ms: 5000\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            InputStream in = socket.getInputStream();
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            String status = text.lines().findFirst().orElse("no answer");
            long events = text.lines().filter(line -> line.startsWith("id:")).count();
            boolean complete = status.contains(" 200 ") && events == EVENTS;
            return (complete ? "complete, " : "not complete, ") + status + ", " + events + " events";
        }
    }

    private DrainCase() {}
}
