package org.wagtailcart.entry.keyed;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.once.IdempotencyKeyRegistry;
import org.wagtailcart.once.KeyId;
import org.wagtailcart.once.KeyResult;
import org.wagtailcart.once.LookupKey;
import org.wagtailcart.once.RecordedResponse;
import org.wagtailcart.sidecar.message.AttemptQuery;
import org.wagtailcart.sidecar.message.AttemptStatus;
import org.wagtailcart.sidecar.message.AttemptStatus.State;

/**
 * Simulation of two entries, two sidecars, a service and the control group, with crashes and with messages that are
 * reordered, lost and repeated.
 */
final class AtMostOnceSimulation {
    private static final long DEADLINE_MILLIS = 2_000;

    private final Random random;
    private final IdempotencyKeyRegistry registry = new IdempotencyKeyRegistry();
    private final List<Runnable> messages = new ArrayList<>();
    private final List<Sidecar> sidecars = List.of(new Sidecar("u0"), new Sidecar("u1"));
    private final List<Set<Caller>> entries = List.of(new HashSet<>(), new HashSet<>());
    private final Map<String, Integer> runsByKey = new HashMap<>();
    private final Set<String> ranAttempts = new HashSet<>();
    private final Set<String> respondedKeys = new HashSet<>();
    private final List<Caller> reportedNotRun = new ArrayList<>();
    private boolean faults = true;
    private long now;
    private long index;
    private int nextAttempt;

    AtMostOnceSimulation(long seed) {
        random = new Random(seed);
    }

    /**
     * Runs random steps: calls, crashes of entries and sidecars, ledger evictions, the passage of time and deliveries.
     */
    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            int choice = random.nextInt(100);
            if (choice < 6) {
                call(random.nextInt(2), "k" + random.nextInt(2));
            } else if (choice == 6) {
                entries.get(random.nextInt(2)).clear();
            } else if (choice == 7) {
                sidecars.get(random.nextInt(2)).restart();
            } else if (choice < 11) {
                sidecars.get(random.nextInt(2)).evict();
            } else if (choice < 20) {
                advance(random.nextInt(400));
            } else {
                deliver();
            }
        }
    }

    /** Disables all faults, delivers the remaining messages, and returns one further call for each key. */
    List<Caller> runFaultFree() {
        faults = false;
        settle();
        advance(10 * DEADLINE_MILLIS + AtMostOnceCall.FOLLOW_UP_MILLIS);
        settle();
        List<Caller> last = List.of(call(0, "k0"), call(1, "k1"));
        settle();
        reportedNotRun.forEach(this::assertNotRun);
        return last;
    }

    int runs(String key) {
        return runsByKey.getOrDefault(key, 0);
    }

    /** Returns whether a caller received the response of the service. */
    boolean answered(String key) {
        return respondedKeys.contains(key);
    }

    private void settle() {
        for (int i = 0; i < 20_000 && !messages.isEmpty(); i++) {
            deliver();
            advance(1);
        }
    }

    private void deliver() {
        if (!messages.isEmpty()) {
            messages.remove(random.nextInt(messages.size())).run();
        }
    }

    private void advance(long millis) {
        now += millis;
        entries.forEach(callers -> List.copyOf(callers).forEach(Caller::checkDeadline));
    }

    private boolean occurs(int oneIn) {
        return faults && random.nextInt(oneIn) == 0;
    }

    private Caller call(int entry, String key) {
        Caller caller = new Caller(entry, key);
        entries.get(entry).add(caller);
        caller.perform(caller.call.start());
        return caller;
    }

    private void assertNotRun(Caller caller) {
        assertWithMessage("\"not run\" reported although one of the attempts %s ran", caller.attempts)
                .that(caller.attempts.stream().anyMatch(ranAttempts::contains))
                .isFalse();
    }

    /** One call at an entry, with the code that performs its actions. */
    final class Caller {
        private final int entry;
        private final String key;
        private final int runsAtStart;
        private final long deadlineMillis = now + DEADLINE_MILLIS;
        private final Set<String> attempts = new HashSet<>();
        private final AtMostOnceCall call;
        private boolean deadlinePassed;
        Optional<RecordedResponse> response = Optional.empty();
        Optional<ResultCode> code = Optional.empty();

        private Caller(int entry, String key) {
            this.entry = entry;
            this.key = key;
            this.runsAtStart = runs(key);
            this.call = new AtMostOnceCall(new KeyId("w", key), "f", deadlineMillis);
        }

        private boolean alive() {
            return entries.get(entry).contains(this);
        }

        private void event(AtMostOnceEvent event) {
            if (alive()) {
                perform(call.onEvent(event, now));
            }
        }

        private void checkDeadline() {
            if (now >= deadlineMillis && !deadlinePassed) {
                deadlinePassed = true;
                event(new AtMostOnceEvent.DeadlinePassed(0));
            }
        }

        private void perform(List<AtMostOnceAction> actions) {
            actions.forEach(this::perform);
        }

        private void perform(AtMostOnceAction action) {
            if (action instanceof AtMostOnceAction.ChooseRoute choose) {
                messages.add(() -> choose(choose));
            } else if (action instanceof AtMostOnceAction.SubmitCommand submit) {
                submit(submit);
            } else if (action instanceof AtMostOnceAction.SendAttempt send) {
                send(send);
            } else if (action instanceof AtMostOnceAction.QueryAttempt query) {
                queryAttempt(query);
            } else if (action instanceof AtMostOnceAction.Delay delay) {
                messages.add(() -> {
                    now += delay.delayMillis();
                    event(new AtMostOnceEvent.DelayElapsed(delay.step()));
                });
            } else if (action instanceof AtMostOnceAction.Respond respond) {
                onResponse(respond.response());
            } else if (action instanceof AtMostOnceAction.Fail failure) {
                onFailed(failure);
            } else if (action instanceof AtMostOnceAction.Finish) {
                entries.get(entry).remove(this);
            }
        }

        private void choose(AtMostOnceAction.ChooseRoute choose) {
            if (occurs(12)) {
                event(new AtMostOnceEvent.NotRouted(choose.step(), ResultCode.QUEUE_FULL));
                return;
            }
            Sidecar sidecar = sidecars.get(random.nextInt(2));
            String attemptId = "a" + nextAttempt++;
            attempts.add(attemptId);
            long epoch = occurs(15) ? sidecar.epoch - 1 : sidecar.epoch;
            event(new AtMostOnceEvent.Routed(choose.step(), attemptId, sidecar.id, epoch));
        }

        private void submit(AtMostOnceAction.SubmitCommand submit) {
            boolean replyLost = occurs(10);
            boolean commandLost = replyLost && random.nextBoolean();
            if (!commandLost) {
                messages.add(() -> {
                    KeyResult result = apply(submit.command());
                    messages.add(() -> event(new AtMostOnceEvent.Committed(submit.step(), result)));
                });
            }
            if (replyLost) {
                messages.add(() -> event(new AtMostOnceEvent.NotCommitted(submit.step())));
            }
            if (!commandLost && occurs(10)) {
                messages.add(() -> apply(submit.command()));
            }
        }

        private KeyResult apply(Object command) {
            return command instanceof LookupKey query ? registry.lookup(query) : registry.apply(++index, now, command);
        }

        private void send(AtMostOnceAction.SendAttempt send) {
            if (occurs(15)) {
                messages.add(() -> event(
                        new AtMostOnceEvent.AttemptFailed(send.step(), ResultCode.CONNECT_FAILED, RunState.NOT_RUN)));
                return;
            }
            if (occurs(8)) {
                messages.add(() -> event(new AtMostOnceEvent.AttemptFailed(
                        send.step(), ResultCode.CONNECTION_LOST, RunState.MAY_HAVE_RUN)));
            }
            if (!occurs(15)) {
                Consumer<AtMostOnceEvent> listener = event -> messages.add(() -> event(event));
                messages.add(() -> sidecar(send.upstreamId()).send(send, key, listener));
            } else {
                messages.add(() -> event(new AtMostOnceEvent.AttemptFailed(
                        send.step(), ResultCode.CONNECTION_SILENT, RunState.MAY_HAVE_RUN)));
            }
        }

        private void queryAttempt(AtMostOnceAction.QueryAttempt query) {
            if (occurs(5)) {
                messages.add(() ->
                        event(new AtMostOnceEvent.AttemptStatusUnavailable(query.step(), ResultCode.CONNECTION_LOST)));
                if (random.nextBoolean()) {
                    return;
                }
            }
            messages.add(() -> {
                AttemptStatus status = sidecar(query.query().upstreamId()).query(query.query());
                messages.add(() -> event(new AtMostOnceEvent.AttemptStatusReceived(query.step(), status)));
            });
        }

        private void onResponse(RecordedResponse received) {
            response = Optional.of(received);
            respondedKeys.add(key);
            assertWithMessage("response for key %s", key)
                    .that(new String(received.body(), StandardCharsets.UTF_8))
                    .isEqualTo(key + " run 1");
        }

        private void onFailed(AtMostOnceAction.Fail failure) {
            code = Optional.of(failure.code());
            if (failure.runState() == RunState.NOT_RUN) {
                reportedNotRun.add(this);
                assertNotRun(this);
                assertWithMessage(
                                "\"not run\" (%s) reported for key %s, which ran before the call", failure.code(), key)
                        .that(runsAtStart)
                        .isEqualTo(0);
            }
        }
    }

    private Sidecar sidecar(String id) {
        return sidecars.stream()
                .filter(sidecar -> sidecar.id.equals(id))
                .findFirst()
                .orElseThrow();
    }

    /** Model of a sidecar: attempt ledger, floor (attempts up to it were evicted or lost in a restart) and epoch. */
    private final class Sidecar {
        private final String id;
        private final Map<String, Entry> ledger = new HashMap<>();
        private long epoch;
        private long floor;

        private Sidecar(String id) {
            this.id = id;
            this.epoch = ++index;
        }

        private record Entry(long number, AttemptStatus status) {}

        private void restart() {
            ledger.clear();
            epoch = ++index;
            floor = index;
        }

        private void evict() {
            ledger.entrySet().stream()
                    .filter(entry -> entry.getValue().status().state() != State.RUNNING)
                    .findAny()
                    .map(Map.Entry::getKey)
                    .ifPresent(attempt ->
                            floor = Math.max(floor, ledger.remove(attempt).number()));
        }

        private void send(AtMostOnceAction.SendAttempt send, String key, Consumer<AtMostOnceEvent> listener) {
            Entry existing = ledger.get(send.attemptId());
            if (send.epoch() != epoch) {
                listener.accept(failed(send, ResultCode.EPOCH_SUPERSEDED, RunState.NOT_RUN));
            } else if (existing != null && existing.status().state() == State.NOT_SENT) {
                listener.accept(failed(send, ResultCode.ATTEMPT_SUPERSEDED, RunState.NOT_RUN));
            } else if (existing != null || send.attemptNumber() <= floor) {
                listener.accept(failed(send, ResultCode.ATTEMPT_SUPERSEDED, RunState.MAY_HAVE_RUN));
            } else if (occurs(12)) {
                listener.accept(failed(send, ResultCode.SETTINGS_REVISION_STALE, RunState.NOT_RUN));
            } else if (occurs(12)) {
                record(send.attemptId(), send.attemptNumber(), State.NOT_SENT, null);
                listener.accept(failed(send, ResultCode.UPSTREAM_REFUSED, RunState.NOT_RUN));
            } else {
                record(send.attemptId(), send.attemptNumber(), State.RUNNING, null);
                messages.add(() -> serve(send, key, listener));
            }
        }

        /** Delivers the request to the service, which runs it unless it crashes first; its response may be lost. */
        private void serve(AtMostOnceAction.SendAttempt send, String key, Consumer<AtMostOnceEvent> listener) {
            boolean crashedBefore = occurs(10);
            if (!crashedBefore) {
                int run = runsByKey.merge(key, 1, Integer::sum);
                ranAttempts.add(send.attemptId());
                assertWithMessage("runs for key %s", key).that(run).isAtMost(1);
            }
            boolean lost = crashedBefore || occurs(8);
            byte[] body = (key + " run " + runs(key)).getBytes(StandardCharsets.UTF_8);
            RecordedResponse response = new RecordedResponse(201, List.of(), body, true);
            messages.add(() -> onServiceResponse(send, lost ? null : response, listener));
        }

        private void onServiceResponse(
                AtMostOnceAction.SendAttempt send, RecordedResponse response, Consumer<AtMostOnceEvent> listener) {
            if (!ledger.containsKey(send.attemptId()) || send.epoch() != epoch) {
                listener.accept(failed(send, ResultCode.CONNECTION_LOST, RunState.MAY_HAVE_RUN));
                return;
            }
            record(send.attemptId(), send.attemptNumber(), response == null ? State.UNKNOWN : State.DONE, response);
            listener.accept(
                    response == null
                            ? failed(send, ResultCode.UPSTREAM_FAILED, RunState.MAY_HAVE_RUN)
                            : new AtMostOnceEvent.ResponseReceived(send.step(), response));
        }

        private AttemptStatus query(AttemptQuery query) {
            if (query.epoch() != epoch) {
                return new AttemptStatus(State.UNKNOWN, null);
            }
            if (!ledger.containsKey(query.attemptId())) {
                if (query.attemptNumber() <= floor) {
                    return new AttemptStatus(State.UNKNOWN, null);
                }
                record(query.attemptId(), query.attemptNumber(), State.NOT_SENT, null);
            }
            return ledger.get(query.attemptId()).status();
        }

        private void record(String attemptId, long number, State state, RecordedResponse response) {
            ledger.put(attemptId, new Entry(number, new AttemptStatus(state, response)));
        }

        private static AtMostOnceEvent failed(AtMostOnceAction.SendAttempt send, ResultCode code, RunState runState) {
            return new AtMostOnceEvent.AttemptFailed(send.step(), code, runState);
        }
    }
}
