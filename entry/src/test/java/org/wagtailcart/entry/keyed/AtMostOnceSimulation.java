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

/** Model of two entries, two sidecars, a service and the control group, with messages that are reordered and lost. */
final class AtMostOnceSimulation {
    private static final long DEADLINE_MILLIS = 2_000;

    private final Random random;
    private final IdempotencyKeyRegistry registry = new IdempotencyKeyRegistry();
    private final List<Runnable> messages = new ArrayList<>();
    private final List<Sidecar> sidecars = List.of(new Sidecar("u0"), new Sidecar("u1"));
    private final List<Set<Caller>> entries = List.of(new HashSet<>(), new HashSet<>());
    private final Map<String, Integer> runsByKey = new HashMap<>();
    private final Set<String> ranAttempts = new HashSet<>();
    private final Set<String> answeredKeys = new HashSet<>();
    private final List<Caller> reportedNotRun = new ArrayList<>();
    private boolean faults = true;
    private long now;
    private long index;
    private int nextAttempt;

    AtMostOnceSimulation(long seed) {
        random = new Random(seed);
    }

    /** Lets callers, crashes, losses and deliveries happen in a random order. */
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

    /** Ends all faults, settles, and returns the outcome of one more call for each key. */
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

    /** Returns whether a caller got the answer of the service. */
    boolean answered(String key) {
        return answeredKeys.contains(key);
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
        assertWithMessage("\"not run\" after attempts %s", caller.attempts)
                .that(caller.attempts.stream().anyMatch(ranAttempts::contains))
                .isFalse();
    }

    /** One call at an entry, with the part of the entry that performs its actions. */
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
            } else if (action instanceof AtMostOnceAction.QueryAttempt ask) {
                queryAttempt(ask);
            } else if (action instanceof AtMostOnceAction.Delay pause) {
                messages.add(() -> {
                    now += pause.delayMillis();
                    event(new AtMostOnceEvent.DelayElapsed(pause.step()));
                });
            } else if (action instanceof AtMostOnceAction.Respond reply) {
                onResponse(reply.response());
            } else if (action instanceof AtMostOnceAction.Fail refuse) {
                onFailed(refuse);
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
            boolean answerLost = occurs(10);
            boolean commandLost = answerLost && random.nextBoolean();
            if (!commandLost) {
                messages.add(() -> {
                    KeyResult result = apply(submit.command());
                    messages.add(() -> event(new AtMostOnceEvent.Committed(submit.step(), result)));
                });
            }
            if (answerLost) {
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
                Consumer<AtMostOnceEvent> back = event -> messages.add(() -> event(event));
                messages.add(() -> sidecar(send.upstreamId()).send(send, key, back));
            } else {
                messages.add(() -> event(new AtMostOnceEvent.AttemptFailed(
                        send.step(), ResultCode.CONNECTION_SILENT, RunState.MAY_HAVE_RUN)));
            }
        }

        private void queryAttempt(AtMostOnceAction.QueryAttempt ask) {
            if (occurs(5)) {
                messages.add(() ->
                        event(new AtMostOnceEvent.AttemptStatusUnavailable(ask.step(), ResultCode.CONNECTION_LOST)));
                if (random.nextBoolean()) {
                    return;
                }
            }
            messages.add(() -> {
                AttemptStatus status = sidecar(ask.query().upstreamId()).query(ask.query());
                messages.add(() -> event(new AtMostOnceEvent.AttemptStatusReceived(ask.step(), status)));
            });
        }

        private void onResponse(RecordedResponse whole) {
            response = Optional.of(whole);
            answeredKeys.add(key);
            assertWithMessage("answer of %s", key)
                    .that(new String(whole.body(), StandardCharsets.UTF_8))
                    .isEqualTo(key + " run 1");
        }

        private void onFailed(AtMostOnceAction.Fail refuse) {
            code = Optional.of(refuse.code());
            if (refuse.runState() == RunState.NOT_RUN) {
                reportedNotRun.add(this);
                assertNotRun(this);
                assertWithMessage("\"not run\" (%s) for %s, which ran before the call", refuse.code(), key)
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

    /** Sidecar as the design states it: ledger, floor and epoch. */
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

        private void send(AtMostOnceAction.SendAttempt send, String key, Consumer<AtMostOnceEvent> back) {
            Entry known = ledger.get(send.attemptId());
            if (send.epoch() != epoch) {
                back.accept(failed(send, ResultCode.EPOCH_SUPERSEDED, RunState.NOT_RUN));
            } else if (known != null && known.status().state() == State.NOT_SENT) {
                back.accept(failed(send, ResultCode.ATTEMPT_SUPERSEDED, RunState.NOT_RUN));
            } else if (known != null || send.attemptNumber() <= floor) {
                back.accept(failed(send, ResultCode.ATTEMPT_SUPERSEDED, RunState.MAY_HAVE_RUN));
            } else if (occurs(12)) {
                back.accept(failed(send, ResultCode.SETTINGS_REVISION_STALE, RunState.NOT_RUN));
            } else if (occurs(12)) {
                record(send.attemptId(), send.attemptNumber(), State.NOT_SENT, null);
                back.accept(failed(send, ResultCode.UPSTREAM_REFUSED, RunState.NOT_RUN));
            } else {
                record(send.attemptId(), send.attemptNumber(), State.RUNNING, null);
                messages.add(() -> serve(send, key, back));
            }
        }

        /** The request reaches the service, which runs it unless it crashes first; its answer may be lost. */
        private void serve(AtMostOnceAction.SendAttempt send, String key, Consumer<AtMostOnceEvent> back) {
            boolean crashedBefore = occurs(10);
            if (!crashedBefore) {
                int run = runsByKey.merge(key, 1, Integer::sum);
                ranAttempts.add(send.attemptId());
                assertWithMessage("runs of %s", key).that(run).isAtMost(1);
            }
            boolean lost = crashedBefore || occurs(8);
            byte[] body = (key + " run " + runs(key)).getBytes(StandardCharsets.UTF_8);
            RecordedResponse whole = new RecordedResponse(201, List.of(), body, true);
            messages.add(() -> answered(send, lost ? null : whole, back));
        }

        private void answered(
                AtMostOnceAction.SendAttempt send, RecordedResponse whole, Consumer<AtMostOnceEvent> back) {
            if (!ledger.containsKey(send.attemptId()) || send.epoch() != epoch) {
                back.accept(failed(send, ResultCode.CONNECTION_LOST, RunState.MAY_HAVE_RUN));
                return;
            }
            record(send.attemptId(), send.attemptNumber(), whole == null ? State.UNKNOWN : State.DONE, whole);
            back.accept(
                    whole == null
                            ? failed(send, ResultCode.UPSTREAM_FAILED, RunState.MAY_HAVE_RUN)
                            : new AtMostOnceEvent.ResponseReceived(send.step(), whole));
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

        private void record(String attemptId, long number, State state, RecordedResponse whole) {
            ledger.put(attemptId, new Entry(number, new AttemptStatus(state, whole)));
        }

        private static AtMostOnceEvent failed(AtMostOnceAction.SendAttempt send, ResultCode code, RunState runState) {
            return new AtMostOnceEvent.AttemptFailed(send.step(), code, runState);
        }
    }
}
