import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: many clients send bodies within the limits at once; the gateway answers nobody for seconds, or never again. */
final class Uploads {
    /** Clients of the site, 31, times its largest burst, 1.9, rounded down to an even number. */
    static final int CLIENTS = 58;
    /** Clients whose body has the largest size that the config allows; the others send a sixteenth of it. */
    static final int LARGE_CLIENTS = 40;

    static final int MAX_BODY_BYTES = 4 << 20;
    static final long UPLOAD_MILLIS = 2_500;
    static final int ROUNDS = 3;

    public static void main(String[] arguments) {
        Stand.run(arguments[0], 3, (record, fleet) -> {
            Deployment.addReplicas(fleet);
            Stand.Node gateway = Deployment.start(fleet);
            if (gateway == null) {
                return 2;
            }
            Stand.sleep(4_000);
            return play(record, gateway);
        });
    }

    private static int play(Stand.Record record, Stand.Node gateway) throws Exception {
        Small during = new Small(record, gateway, "during", 30, 150);
        Stand.sleep(3_000);
        AtomicInteger served = new AtomicInteger();
        int rounds = Stand.TROUBLE ? ROUNDS : 1;
        for (int round = 0; round < rounds; round++) {
            // Without the disruption the same bodies come two at a time.
            int atOnce = Stand.TROUBLE ? CLIENTS : 2;
            for (int first = 0; first < CLIENTS; first += atOnce) {
                CountDownLatch done = new CountDownLatch(atOnce);
                for (int i = first; i < first + atOnce; i++) {
                    int bytes = i < LARGE_CLIENTS ? MAX_BODY_BYTES : MAX_BODY_BYTES / 16;
                    String id = "upload-" + round + "-" + i;
                    Stand.thread(() -> {
                        if (upload(record, gateway, id, bytes)) {
                            served.incrementAndGet();
                        }
                        done.countDown();
                    });
                }
                done.await(20, TimeUnit.SECONDS);
            }
        }
        Stand.sleep(2_000);
        during.stop();
        Stand.sleep(3_000);
        record.say("the last upload has ended over 5 s ago");
        Small after = new Small(record, gateway, "after", 10, 150);
        Stand.sleep(8_000);
        after.stop();
        record.say(served.get() + " of " + rounds * CLIENTS + " uploads were served");
        during.report(record, "beside the uploads");
        after.report(record, "after the uploads");
        boolean broken = Small.isRuleBroken(List.of(during, after));
        record.say("the gateway's process is " + (gateway.process.isAlive() ? "alive" : "gone") + ", its readiness is "
                + (gateway.ready() ? "200" : "not 200") + "; its log has "
                + gateway.logText().lines().filter(line -> line.contains("OutOfMemoryError")).count()
                + " lines with OutOfMemoryError");
        record.say(broken ? "CONFIG is broken" : "CONFIG holds");
        return broken ? 1 : 0;
    }

    private static boolean upload(Stand.Record record, Stand.Node gateway, String id, int bytes) {
        long sentAt = Stand.now();
        String answer;
        try (Stand.Client client = new Stand.Client(gateway.ip, gateway.frontPort)) {
            client.out.write(Stand.Client.head(
                    "POST /unsafe/x", Map.of("X-Request-Id", id, "X-Deadline-Ms", "10000"), bytes));
            byte[] part = new byte[16 << 10];
            int parts = bytes / part.length;
            long uploadMillis = Stand.TROUBLE ? UPLOAD_MILLIS : 300;
            long begun = Stand.now();
            for (int i = 1; i <= parts; i++) {
                client.out.write(part);
                client.out.flush();
                Stand.sleep(begun + uploadMillis * i / parts - Stand.now());
            }
            answer = Integer.toString(client.answer(11_000).status());
        } catch (IOException e) {
            answer = e.toString();
        }
        record.add(id + " of " + bytes + " bytes sent at " + sentAt + ", after " + (Stand.now() - sentAt) + " ms: "
                + answer);
        return answer.equals("200");
    }
}
