package org.wagtailcart.sidecar.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.once.RecordedResponse;
import org.wagtailcart.sidecar.message.AttemptStatus.State;

/**
 * Property test of the ledger against an oracle with unbounded memory. Guards against an attempt that is sent twice or
 * reported as not run although it ran, under restarts with new epochs, repeated, delayed and reordered requests, and a
 * capacity so small that most attempts are evicted.
 */
class AttemptLedgerTest {
    private static final int CAPACITY = 3;
    private static final int CAPACITY_BYTES = 40;
    private static final int RESPONSE_BYTES = 15;

    /** Kinds of simulated events; most act on one of the reserved attempts. */
    enum Event {
        RESERVE,
        REQUEST,
        /** The request reaches the process of the previous epoch, which was paused and is still running. */
        REQUEST_TO_PREVIOUS,
        RESPOND,
        CONNECT_REFUSED,
        LOSE_RESPONSE,
        QUERY,
        RESTART
    }

    record Step(Event event, int pick) {}

    private record Reserved(String id, long number, long epoch) {}

    /** Simulation of the reservations and of the actual sends and responses of each attempt. */
    private static final class Simulation {
        private final List<Reserved> reserved = new ArrayList<>();
        private final Map<String, Integer> sends = new HashMap<>();
        private final Set<String> reportedNotRun = new HashSet<>();
        private final Set<String> responded = new HashSet<>();
        private final List<Reserved> sending = new ArrayList<>();
        private long index = 10;
        private long epoch = 10;
        private AttemptLedger previous = new AttemptLedger(0, CAPACITY, CAPACITY_BYTES);
        private AttemptLedger ledger = new AttemptLedger(10, CAPACITY, CAPACITY_BYTES);

        void run(Step step) {
            switch (step.event()) {
                case RESERVE -> reserve();
                case REQUEST -> pick(reserved, step).forEach(this::request);
                case REQUEST_TO_PREVIOUS -> pick(reserved, step).forEach(this::requestToPrevious);
                case RESPOND -> pickSending(step).forEach(this::respond);
                case CONNECT_REFUSED -> pickSending(step).forEach(this::connectRefused);
                case LOSE_RESPONSE -> pickSending(step).forEach(attempt -> ledger.recordUnknown(attempt.id()));
                case QUERY -> pick(reserved, step).forEach(this::query);
                case RESTART -> restart();
            }
            sends.forEach((id, count) -> assertThat(count).isAtMost(1));
            reportedNotRun.forEach(id -> assertThat(sends).doesNotContainEntry(id, 1));
            assertThat(ledger.size()).isAtMost(CAPACITY + sending.size());
        }

        private void reserve() {
            index++;
            reserved.add(new Reserved("a" + index, index, epoch));
        }

        /** Counts the request as sent at its claim; {@link #connectRefused} takes this back. */
        private void request(Reserved attempt) {
            try {
                ledger.claim(attempt.id(), attempt.number(), attempt.epoch());
                sends.merge(attempt.id(), 1, Integer::sum);
                sending.add(attempt);
                assertThat(reportedNotRun).doesNotContain(attempt.id());
            } catch (WagtailcartException e) {
                recordReport(attempt, e.runState() == RunState.NOT_RUN);
            }
        }

        private void requestToPrevious(Reserved attempt) {
            try {
                previous.claim(attempt.id(), attempt.number(), attempt.epoch());
                sends.merge(attempt.id(), 1, Integer::sum);
                previous.recordUnknown(attempt.id());
            } catch (WagtailcartException e) {
                recordReport(attempt, e.runState() == RunState.NOT_RUN);
            }
        }

        private void respond(Reserved attempt) {
            ledger.recordResponse(attempt.id(), new RecordedResponse(200, List.of(), new byte[RESPONSE_BYTES], true));
            responded.add(attempt.id());
        }

        private void connectRefused(Reserved attempt) {
            sends.put(attempt.id(), 0);
            ledger.recordNotSent(attempt.id());
            recordReport(attempt, true);
        }

        private void query(Reserved attempt) {
            State state = ledger.query(attempt.id(), attempt.number(), attempt.epoch())
                    .state();
            recordReport(attempt, state == State.NOT_SENT);
            assertThat(state == State.RUNNING).isEqualTo(sending.contains(attempt));
            if (state == State.DONE) {
                assertThat(responded).contains(attempt.id());
            }
        }

        private void recordReport(Reserved attempt, boolean notRun) {
            if (notRun) {
                reportedNotRun.add(attempt.id());
            }
        }

        private void restart() {
            epoch = ++index;
            sending.clear();
            previous = ledger;
            ledger = new AttemptLedger(epoch, CAPACITY, CAPACITY_BYTES);
        }

        private List<Reserved> pickSending(Step step) {
            List<Reserved> picked = pick(sending, step);
            sending.removeAll(picked);
            return picked;
        }

        private static List<Reserved> pick(List<Reserved> from, Step step) {
            return from.isEmpty() ? List.of() : List.of(from.get(step.pick() % from.size()));
        }
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Event> events = Arbitraries.frequency(
                Tuple.of(6, Event.RESERVE),
                Tuple.of(12, Event.REQUEST),
                Tuple.of(3, Event.REQUEST_TO_PREVIOUS),
                Tuple.of(6, Event.RESPOND),
                Tuple.of(2, Event.CONNECT_REFUSED),
                Tuple.of(2, Event.LOSE_RESPONSE),
                Tuple.of(6, Event.QUERY),
                Tuple.of(1, Event.RESTART));
        return Combinators.combine(events, Arbitraries.integers().between(0, 1_000))
                .as(Step::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(80);
    }

    /** Guards against a second run of an attempt and against a false NOT_RUN (R5 and R6). */
    @Property(tries = 3_000, seed = "20261204")
    void sendsAtMostOnceAndStatesNotRunOnlyWhenTrue(@ForAll("steps") List<Step> steps) {
        Simulation simulation = new Simulation();
        steps.forEach(simulation::run);
    }

    /** Guards against a floor that is so high that new attempts of this epoch are rejected. */
    @Property(tries = 200, seed = "20261204")
    void newAttemptIsClaimedAndItsResponseKept(@ForAll("steps") List<Step> steps) {
        Simulation simulation = new Simulation();
        steps.forEach(simulation::run);
        simulation.run(new Step(Event.RESERVE, 0));
        Reserved fresh = simulation.reserved.get(simulation.reserved.size() - 1);
        simulation.ledger.claim(fresh.id(), fresh.number(), fresh.epoch());
        simulation.ledger.recordResponse(fresh.id(), new RecordedResponse(201, List.of(), new byte[1], true));
        assertThat(simulation
                        .ledger
                        .query(fresh.id(), fresh.number(), fresh.epoch())
                        .state())
                .isEqualTo(State.DONE);
    }
}
