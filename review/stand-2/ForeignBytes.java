import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.IntStream;

/** Cases: a replica sends a second copy of an answer; the client gets a part of it, or all, in the body of the first. */
final class ForeignBytes {
    private static final int REPLICAS = 4;
    /** Replicas in trouble at a time, a share of 0.5. */
    private static final int IN_TROUBLE = 2;
    /** Time after which others are in trouble: those that have answered most in this time. */
    private static final long TROUBLE_MILLIS = 5_000;
    private static final int CLIENTS = 12;
    private static final long SECONDS = 25;
    /** One answer in so many of a replica in trouble, a share of 0.029, is spoiled. */
    private static final int ONE_IN = 34;

    /** Number of answers of each replica since others came into trouble. */
    private static final AtomicIntegerArray ANSWERS = new AtomicIntegerArray(REPLICAS);
    /** Number of answers of replicas in trouble. */
    private static final AtomicInteger TROUBLED = new AtomicInteger();

    private static volatile List<Integer> inTrouble = List.of();

    /** Replica that has run a request. */
    private static final Map<String, String> RAN_AT = new ConcurrentHashMap<>();
    /** Body that a replica has given to a request. */
    private static final Map<String, byte[]> GIVEN = new ConcurrentHashMap<>();

    /** Forms of a spoiled answer. */
    private enum Form {
        /** The answer breaks off after a third of its body, and a second answer follows. */
        CUT {
            @Override
            String said() {
                return Stand.TROUBLE ? ", broken off and once more" : "";
            }

            @Override
            boolean answer(Socket channel, String id, byte[] body) throws IOException {
                byte[] head = head(id, "Content-Length: " + body.length);
                if (Stand.TROUBLE) {
                    write(channel, head, Arrays.copyOf(body, body.length / 3), false);
                    Stand.sleep(PAUSE_MILLIS);
                }
                write(channel, head, body, true);
                return true;
            }
        },
        /** The answer has no length and ends with its channel, and a second answer comes before that end. */
        UNFRAMED {
            @Override
            String said() {
                return " without a length" + (Stand.TROUBLE ? ", twice" : "");
            }

            @Override
            boolean answer(Socket channel, String id, byte[] body) throws IOException {
                byte[] head = head(id, "Connection: close");
                for (int i = 0; i < (Stand.TROUBLE ? 2 : 1); i++) {
                    write(channel, head, body, false);
                }
                return false;
            }
        };

        abstract String said();

        /** Sends the answer; returns whether the channel is kept. */
        abstract boolean answer(Socket channel, String id, byte[] body) throws IOException;
    }

    /** Pause between the pieces of an answer that comes in several. */
    private static final long PAUSE_MILLIS = 5;

    private static byte[] head(String id, String framing) {
        return Stand.ascii("HTTP/1.1 200 X\r\nX-Request-Id: " + id + "\r\nX-Server-Stamp: stamp-" + id
                + "\r\nKeep-Alive: timeout=15\r\n" + framing + "\r\n\r\n");
    }

    /** Writes head and body at once, or the last third of the body some milliseconds later. */
    private static void write(Socket channel, byte[] head, byte[] body, boolean inPieces) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head);
        all.writeBytes(body);
        byte[] bytes = all.toByteArray();
        int first = inPieces ? bytes.length - body.length * 2 / 3 : bytes.length;
        channel.getOutputStream().write(bytes, 0, first);
        channel.getOutputStream().flush();
        if (inPieces) {
            Stand.sleep(PAUSE_MILLIS);
            channel.getOutputStream().write(bytes, first, bytes.length - first);
            channel.getOutputStream().flush();
        }
    }

    public static void main(String[] arguments) {
        Form form = Form.valueOf(arguments[1]);
        Stand.run(arguments[0], 3, (record, fleet) -> {
            for (int i = 0; i < REPLICAS; i++) {
                addReplica(fleet, i, form);
            }
            Stand.Node gateway = Deployment.start(fleet);
            if (gateway == null) {
                return 2;
            }
            Stand.sleep(3_000);
            return play(record, gateway);
        });
    }

    private static void addReplica(Stand.Fleet fleet, int index, Form form) throws IOException {
        Stand.Replica[] self = new Stand.Replica[1];
        self[0] = new Stand.Replica("i-desk" + index, "desk", "zone-1", 64, "", (request, channel) -> {
            String id = request.header("X-Request-Id");
            self[0].ran(id);
            byte[] body = Stand.ascii(("answer to " + id + ' ').repeat(50));
            GIVEN.put(id, body);
            RAN_AT.merge(id, self[0].id, (before, now) -> before + ", " + now);
            Stand.sleep(20);
            ANSWERS.incrementAndGet(index);
            boolean spoiled = inTrouble.contains(index) && TROUBLED.incrementAndGet() % ONE_IN == 0;
            if (!spoiled) {
                write(channel, head(id, "Content-Length: " + body.length), body, false);
                return true;
            }
            fleet.record.add(self[0].id + " answers " + id + form.said());
            return form.answer(channel, id, body);
        });
        fleet.replicas.add(self[0]);
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
        record.say(sent.get() + " requests, " + whole.get() + " got the body that their replica gave, " + wrong.get()
                + " a success with another body");
        record.say(wrong.get() > 0 ? "MIXED is broken" : "MIXED holds");
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
        // Half of the requests may run once only.
        boolean safe = id.hashCode() % 2 == 0;
        try (Stand.Client channel = new Stand.Client(gateway.ip, gateway.frontPort)) {
            Stand.Message answer = channel.call(
                    safe ? "GET /safe/x" : "POST /unsafe/x",
                    Map.of("X-Request-Id", id, "X-Deadline-Ms", "2500"),
                    new byte[0],
                    4_000);
            if (answer.status() != 200) {
                return answer.start;
            }
            boolean same = Arrays.equals(answer.body, GIVEN.get(id));
            (same ? whole : wrong).incrementAndGet();
            return answer.start + ", " + answer.body.length + " bytes"
                    + (same ? "" : ", wrong " + Stand.difference(GIVEN.get(id), answer.body));
        } catch (IOException e) {
            return e.toString();
        }
    }
}
