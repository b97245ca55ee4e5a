import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.IntStream;

/** Case: a stream without a length breaks off within an event and a second answer follows; the client gets its head. */
final class BrokenStream {
    private static final int REPLICAS = 4;
    /** Replicas in trouble at a time, a share of 0.5. */
    private static final int IN_TROUBLE = 2;
    /** Time after which others are in trouble: those that have answered most in this time. */
    private static final long TROUBLE_MILLIS = 5_000;

    private static final int CLIENTS = 20;
    private static final long SECONDS = 25;
    /** One answer in so many of a replica in trouble, a share of 0.029, is spoiled. */
    private static final int ONE_IN = 34;

    private static final int EVENTS = 12;
    private static final long EVENT_PAUSE_MILLIS = 10;
    private static final int BROKEN_EVENT = 5;

    private static final String ROUTE = "{\"name\":\"r-stream\",\"host\":\"x.example\",\"path_prefix\":\"/stream/\","
            + "\"route_type\":\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":500,\"priority\":1,"
            + "\"service\":\"desk\",\"max_attempts\":1,\"sticky\":false,\"resumable\":false,\"gap_target_ms\":500},";

    /** Number of answers of each replica since others came into trouble. */
    private static final AtomicIntegerArray ANSWERS = new AtomicIntegerArray(REPLICAS);
    /** Number of answers of replicas in trouble. */
    private static final AtomicInteger TROUBLED = new AtomicInteger();

    private static volatile List<Integer> inTrouble = List.of();

    /** Replica that has run a request. */
    private static final Map<String, String> RAN_AT = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        Stand.run(arguments[0], 3, (record, fleet) -> {
            for (int i = 0; i < REPLICAS; i++) {
                addReplica(fleet, i);
            }
            String config = Deployment.CONFIG.replace("\"routes\":[", "\"routes\":[" + ROUTE);
            Stand.Node gateway = Deployment.start(fleet, config);
            if (gateway == null) {
                return 2;
            }
            Stand.sleep(3_000);
            return play(record, gateway);
        });
    }

    private static void addReplica(Stand.Fleet fleet, int index) throws IOException {
        Stand.Replica[] self = new Stand.Replica[1];
        self[0] = new Stand.Replica("i-desk" + index, "desk", "zone-1", 64, "", (request, channel) -> {
            String id = request.header("X-Request-Id");
            self[0].ran(id);
            RAN_AT.merge(id, self[0].id, (before, now) -> before + ", " + now);
            ANSWERS.incrementAndGet(index);
            boolean spoiled = inTrouble.contains(index) && TROUBLED.incrementAndGet() % ONE_IN == 0 && Stand.TROUBLE;
            write(channel, head(id));
            for (int event = 1; event <= EVENTS; event++) {
                Stand.sleep(EVENT_PAUSE_MILLIS);
                if (spoiled && event == BROKEN_EVENT) {
                    fleet.record.add(self[0].id + " breaks off " + id + " within event " + event + " and answers once more");
                    write(channel, event(id, event).substring(0, 20));
                    StringBuilder second = new StringBuilder(head(id));
                    IntStream.rangeClosed(1, EVENTS).forEach(e -> second.append(event(id, e)));
                    write(channel, second.toString());
                    return false;
                }
                write(channel, event(id, event));
            }
            return false;
        });
        fleet.replicas.add(self[0]);
    }

    private static String head(String id) {
        return "HTTP/1.1 200 X\r\nX-Request-Id: " + id + "\r\nX-Server-Stamp: stamp-" + id
                + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    }

    private static String event(String id, int number) {
        return "id: " + number + "\ndata: text " + number + " of the answer to " + id + "\n\n";
    }

    private static void write(Socket channel, String text) throws IOException {
        OutputStream out = channel.getOutputStream();
        out.write(Stand.ascii(text));
        out.flush();
    }

    private static int play(Stand.Record record, Stand.Node gateway) throws Exception {
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        Thread[] clients = new Thread[CLIENTS];
        long end = Stand.now() + SECONDS * 1_000;
        for (int k = 0; k < CLIENTS; k++) {
            int client = k;
            clients[k] = Stand.thread(() -> {
                for (int i = 0; Stand.now() < end; i++) {
                    String id = "c" + client + "-" + i;
                    sent.incrementAndGet();
                    String answer = call(gateway, id, whole, wrong);
                    record.add(id + " sent, run at " + RAN_AT.get(id) + ": " + answer);
                    Stand.sleep(50);
                }
            });
        }
        while (Stand.now() + TROUBLE_MILLIS < end) {
            Stand.sleep(TROUBLE_MILLIS);
            inTrouble = busiest();
            record.add("in trouble from now on: " + inTrouble);
        }
        for (Thread client : clients) {
            client.join();
        }
        record.say(sent.get() + " streams, " + whole.get() + " whole, " + wrong.get()
                + " with bytes that are no event of the replica, or with an event missing");
        record.say(wrong.get() > 0 ? "ORDER is broken" : "ORDER holds");
        return wrong.get() > 0 ? 1 : 0;
    }

    /** Returns the replicas that have answered most since the last call. */
    private static List<Integer> busiest() {
        int[] counts = IntStream.range(0, REPLICAS).map(i -> ANSWERS.getAndSet(i, 0)).toArray();
        return IntStream.range(0, REPLICAS)
                .boxed()
                .sorted(Comparator.comparingInt(i -> -counts[i]))
                .limit(IN_TROUBLE)
                .toList();
    }

    private static String call(Stand.Node gateway, String id, AtomicInteger whole, AtomicInteger wrong) {
        StringBuilder text = new StringBuilder();
        String end = "ended as complete";
        try (Stand.Client channel = new Stand.Client(gateway.ip, gateway.frontPort)) {
            channel.socket.setSoTimeout(6_000);
            channel.out.write(
                    Stand.Client.head("POST /stream/x", Map.of("X-Request-Id", id, "X-Deadline-Ms", "5000"), 0));
            Stand.Message head = Stand.readHead(channel.in);
            if (head == null || head.status() != 200) {
                return head == null ? "closed" : head.start;
            }
            Stand.readChunks(channel.in, part -> text.append(new String(part, StandardCharsets.ISO_8859_1)));
        } catch (IOException e) {
            end = "broken off: " + e;
        }
        String got = text.toString();
        StringBuilder expected = new StringBuilder();
        IntStream.rangeClosed(1, EVENTS).forEach(event -> expected.append(event(id, event)));
        boolean complete = end.equals("ended as complete");
        // A stream that is broken off may lack its end, but what there is has to be the replica's.
        boolean right = complete ? got.contentEquals(expected) : expected.toString().startsWith(got);
        if (!right) {
            wrong.incrementAndGet();
            return end + ", wrong " + Stand.difference(Stand.ascii(expected.toString()), Stand.ascii(got));
        }
        whole.addAndGet(complete ? 1 : 0);
        return end;
    }
}
