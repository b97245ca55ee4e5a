import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients send two requests on one channel without waiting for the first answer. While a slow replica works on the
 * first one, the body of the second arrives. Checks that replicas run what the clients sent and nothing else.
 */
public final class PipelineCase {
    private static final String HOST = "desk.example";
    private static final long USUAL_MILLIS = 200;
    private static final long SLOWDOWN = 4;
    private static final long BODY_DELAY_MILLIS = 500;
    private static final int WARM_UP_REQUESTS = 60;
    private static final int REPLICAS = 7;
    private static final int CHANNELS = 14;

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(arguments[0], 3);
        int port = Fleet.freePorts(1)[0];
        List<Service> replicas = new ArrayList<>();
        for (int i = 1; i <= REPLICAS; i++) {
            Service replica = new Service(fleet, "i-desk-" + i, "desk", 6, "127.0.40." + i, port);
            replica.workMillis = 10;
            replicas.add(replica);
        }
        fleet.startAll(1, config());
        Thread.sleep(1_500);
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            exchange(fleet, 0, "GET /look/1 HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: r-warm-" + i
                    + "\r\nX-Deadline-Ms: 2500\r\nConnection: close\r\n\r\n", "");
        }
        replicas.forEach(replica -> replica.workMillis = USUAL_MILLIS);
        if (fleet.trouble) {
            replicas.get(0).workMillis = USUAL_MILLIS * SLOWDOWN;
            fleet.log("i-desk-1 works " + SLOWDOWN + " times as long");
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= CHANNELS; i++) {
            int channel = i;
            Thread client = new Thread(() -> runClient(fleet, channel));
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        List<String> unasked = replicas.stream()
                .flatMap(replica -> replica.runs.stream())
                .filter(run -> !isSent(run))
                .map(run -> run.id() + " (" + run.line() + ")")
                .sorted()
                .toList();
        long runs = replicas.stream().mapToLong(replica -> replica.runs.size()).sum();
        fleet.finish(
                !unasked.isEmpty(),
                unasked.isEmpty()
                        ? "the replicas ran only what the clients sent: " + runs + " requests"
                        : "the replicas ran requests that no client sent: " + unasked);
    }

    /** Returns whether a client sent the request that ran, with this method, path and body. */
    private static boolean isSent(Service.Run run) {
        if (run.id().startsWith("r-warm-")) {
            return run.line().equals("GET /look/1");
        }
        for (int channel = 1; channel <= CHANNELS; channel++) {
            boolean first = run.equals(new Service.Run("r-" + channel + "-1", "GET /look/1", ""));
            boolean second = run.equals(new Service.Run("r-" + channel + "-2", "POST /look/2", body(channel)));
            if (first || second) {
                return true;
            }
        }
        return false;
    }

    /** Returns a body that quotes a request, as a ticket or a log excerpt may. */
    private static String body(int channel) {
        return "GET /look/never-sent HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: r-" + channel
                + "-never-sent\r\nX-Deadline-Ms: 2500\r\n\r\n";
    }

    private static void runClient(Fleet fleet, int channel) {
        String common = " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Deadline-Ms: 2500\r\nX-Request-Id: r-" + channel;
        String first = "GET /look/1" + common + "-1\r\n\r\n";
        String second = "POST /look/2" + common + "-2\r\nContent-Type: text/plain\r\nContent-Length: "
                + body(channel).length() + "\r\n\r\n";
        try {
            String answers = exchange(fleet, channel, first + second, body(channel));
            long complete = answers.lines().filter(line -> line.contains("HTTP/1.1 200"))
                    .count();
            fleet.log("channel " + channel + " got " + complete + " answers");
        } catch (IOException | InterruptedException e) {
            fleet.log("channel " + channel + " broke: " + e);
        }
    }

    private static String exchange(Fleet fleet, int channel, String now, String later)
            throws IOException, InterruptedException {
        StringBuilder text = new StringBuilder();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(Fleet.gatewayIp(1), fleet.frontPort), 1_000);
            socket.setSoTimeout(3_000);
            OutputStream out = socket.getOutputStream();
            out.write(now.getBytes(StandardCharsets.UTF_8));
            if (!later.isEmpty()) {
                fleet.log("channel " + channel + ": the client sent its first request and the head of its second");
                Thread.sleep(BODY_DELAY_MILLIS);
                out.write(later.getBytes(StandardCharsets.UTF_8));
                fleet.log("channel " + channel + ": the client sent the body of its second request");
            }
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[8_192];
            try {
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    text.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
                }
            } catch (SocketTimeoutException e) {
                text.append("(no more)");
            }
        }
        return text.toString();
    }

    private static String config() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-look\",\"host\":\"" + HOST
                + "\",\"path_prefix\":\"/look/\",\"route_type\":\"safe\",\"timeout_ms\":2500,"
                + "\"target_latency_ms\":150,\"priority\":2,\"service\":\"desk\",\"max_attempts\":2,\"sticky\":false,"
                + "\"resumable\":false}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
                + "\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }

    private PipelineCase() {}
}
