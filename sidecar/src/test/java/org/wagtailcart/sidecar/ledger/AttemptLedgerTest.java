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
 * Compares the ledger with an oracle that remembers everything, over restarts with new epochs, with frames repeated,
 * delayed and reordered, and with so little memory that most attempts are evicted.
 */
class AttemptLedgerTest {
    private static final int CAPACITY = 3;
    private static final int CAPACITY_BYTES = 40;
    private static final int ANSWER_BYTES = 15;

    /** What happens next; each works on one of the reserved attempts. */
    enum Event {
        RESERVE,
        REQUEST,
        /** The request reaches the process of the previous epoch, which was paused and is still alive. */
        REQUEST_TO_PREVIOUS,
        ANSWER,
        CONNECT_REFUSED,
        LOSE_RESPONSE,
        QUERY,
        RESTART
    }

    record Step(Event event, int pick) {}

    private record Reserved(String id, long number, long epoch) {}

    /** World around the ledger: reservations, and what truly happened to each attempt. */
    private static final class Simulation {
        private final List<Reserved> reserved = new ArrayList<>();
        private final Map<String, Integer> sends = new HashMap<>();
        private final Set<String> reportedNotRun = new HashSet<>();
        private final Set<String> answered = new HashSet<>();
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
                case ANSWER -> pickSending(step).forEach(this::answer);
                case CONNECT_REFUSED -> pickSending(step).forEach(this::connectRefused);
                case LOSE_RESPONSE -> pickSending(step).forEach(one -> ledger.recordUnknown(one.id()));
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

        /** A request is written to the upstream at its claim, or never when the connect is refused later. */
        private void request(Reserved one) {
            try {
                ledger.claim(one.id(), one.number(), one.epoch());
                sends.merge(one.id(), 1, Integer::sum);
                sending.add(one);
                assertThat(reportedNotRun).doesNotContain(one.id());
            } catch (WagtailcartException e) {
                recordReport(one, e.runState() == RunState.NOT_RUN);
            }
        }

        private void requestToPrevious(Reserved one) {
            try {
                previous.claim(one.id(), one.number(), one.epoch());
                sends.merge(one.id(), 1, Integer::sum);
                previous.recordUnknown(one.id());
            } catch (WagtailcartException e) {
                recordReport(one, e.runState() == RunState.NOT_RUN);
            }
        }

        private void answer(Reserved one) {
            ledger.recordResponse(one.id(), new RecordedResponse(200, List.of(), new byte[ANSWER_BYTES], true));
            answered.add(one.id());
        }

        private void connectRefused(Reserved one) {
            sends.put(one.id(), 0);
            ledger.recordNotSent(one.id());
            recordReport(one, true);
        }

        private void query(Reserved one) {
            State state = ledger.query(one.id(), one.number(), one.epoch()).state();
            recordReport(one, state == State.NOT_SENT);
            assertThat(state == State.RUNNING).isEqualTo(sending.contains(one));
            if (state == State.DONE) {
                assertThat(answered).contains(one.id());
            }
        }

        private void recordReport(Reserved one, boolean notRun) {
            if (notRun) {
                reportedNotRun.add(one.id());
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
                Tuple.of(6, Event.ANSWER),
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

    /** Guards against a second run of an attempt and against a false "not run" (R5 and R6). */
    @Property(tries = 3_000, seed = "20261204")
    void sendsAtMostOnceAndStatesNotRunOnlyWhenTrue(@ForAll("steps") List<Step> steps) {
        Simulation world = new Simulation();
        steps.forEach(world::run);
    }

    /** Guards against a floor that makes fresh attempts of this epoch count as old. */
    @Property(tries = 200, seed = "20261204")
    void freshAttemptIsClaimedAndItsAnswerKept(@ForAll("steps") List<Step> steps) {
        Simulation world = new Simulation();
        steps.forEach(world::run);
        world.run(new Step(Event.RESERVE, 0));
        Reserved fresh = world.reserved.get(world.reserved.size() - 1);
        world.ledger.claim(fresh.id(), fresh.number(), fresh.epoch());
        world.ledger.recordResponse(fresh.id(), new RecordedResponse(201, List.of(), new byte[1], true));
        assertThat(world.ledger.query(fresh.id(), fresh.number(), fresh.epoch()).state())
                .isEqualTo(State.DONE);
    }
}
