import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** Clients that send small safe requests, one after the other, and note how long each answer took. */
final class Small {
    /** Outcome of one request: its answer, or why there was none, and when. */
    record Outcome(String id, long sentAt, long doneAt, String answer) {}

    static final long TIMEOUT_MILLIS = 1_200;

    final List<Outcome> outcomes = new ArrayList<>();
    private final AtomicBoolean stop = new AtomicBoolean();
    private final List<Thread> threads = new ArrayList<>();

    Small(Stand.Record record, Stand.Node gateway, String name, int clients, long pauseMillis) {
        for (int k = 0; k < clients; k++) {
            int client = k;
            threads.add(Stand.thread(() -> run(record, gateway, name + "-" + client, pauseMillis)));
        }
    }

    private void run(Stand.Record record, Stand.Node gateway, String client, long pauseMillis) {
        for (int i = 0; !stop.get(); i++) {
            String id = client + "-" + i;
            long sentAt = Stand.now();
            String answer;
            try (Stand.Client channel = new Stand.Client(gateway.ip, gateway.frontPort)) {
                sentAt = Stand.now();
                answer = Integer.toString(channel.call(
                                "GET /safe/x",
                                Map.of("X-Request-Id", id, "X-Deadline-Ms", "2500"),
                                new byte[0],
                                6_000)
                        .status());
            } catch (IOException e) {
                answer = e.toString();
            }
            Outcome outcome = new Outcome(id, sentAt, Stand.now(), answer);
            synchronized (outcomes) {
                outcomes.add(outcome);
            }
            record.add(id + " sent at " + sentAt + ", after " + (outcome.doneAt - sentAt) + " ms: " + answer);
            Stand.sleep(pauseMillis);
        }
    }

    void stop() throws InterruptedException {
        stop.set(true);
        for (Thread thread : threads) {
            thread.join(8_000);
        }
    }

    /** Returns how many requests had no answer a time after they were sent. */
    long unansweredAfter(long millis) {
        synchronized (outcomes) {
            return outcomes.stream().filter(o -> o.doneAt - o.sentAt >= millis).count();
        }
    }

    long count() {
        synchronized (outcomes) {
            return outcomes.size();
        }
    }

    /** Notes how many requests had no answer in time. */
    void report(Stand.Record record, String when) {
        record.say("of " + count() + " small requests " + when + " " + unansweredAfter(TIMEOUT_MILLIS)
                + " had no answer at their route's timeout of " + TIMEOUT_MILLIS + " ms, "
                + unansweredAfter(TIMEOUT_MILLIS + 500) + " had none half a second later, " + unansweredAfter(5_900)
                + " had none after 5.9 s");
    }

    /**
     * Returns whether the rule is broken: of the requests that are still unanswered at their route's timeout, more than
     * half, and eight at least, have no answer half a second later.
     */
    static boolean isRuleBroken(List<Small> all) {
        long late = all.stream().mapToLong(small -> small.unansweredAfter(TIMEOUT_MILLIS)).sum();
        long never = all.stream().mapToLong(small -> small.unansweredAfter(TIMEOUT_MILLIS + 500)).sum();
        return never >= 8 && 2 * never > late;
    }
}
