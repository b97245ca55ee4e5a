package org.wagtailcart.sidecar.order;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.fleet.OrderState;
import org.wagtailcart.fleet.UpstreamView;

/**
 * Property test of executors of several epochs against one engine that ignores fencing tokens and one replicated order
 * state. Guards against conflicting and unfinished orders when replies are lost, orders arrive late, the engine
 * crashes, and a sidecar is paused or replaced at any step.
 */
class OrderExecutorTest {
    private static final OrderTiming TIMING = new OrderTiming(100, 300, 20, 20);
    private static final long TICK = 10;
    /** Longest delay of a written order before the engine carries it out; less than the late delivery time. */
    private static final long ENGINE_DELAY = 90;

    enum Event {
        ISSUE,
        STEP,
        LOSE_NEXT_REPLY,
        DELAY_NEXT_ORDER,
        ENGINE_CRASH,
        ENGINE_UNREACHABLE,
        FREEZE_VIEW,
        REPLACE_SIDECAR,
        PAUSE
    }

    record Step(Event event, int amount) {}

    private record DelayedOrder(long atMillis, long number, EngineTarget target) {}

    /** Simulation of the replicated state, the engine and the sidecars. */
    private static final class Simulation {
        long now;
        long index = 10;
        long epoch = 10;
        UpstreamView state = view(10, null, 0, OrderState.NONE, 0);
        UpstreamView visibleState = state;
        long viewFrozenUntil;
        long unreachableUntil;
        boolean loseReply;
        boolean delayOrder;
        EngineTarget engineTarget = target(0);
        long engineToken;
        long changingUntil;
        final List<DelayedOrder> ordersInTransit = new ArrayList<>();
        final List<Long> received = new ArrayList<>();
        final Set<Long> begun = new HashSet<>();
        final Set<Long> ended = new HashSet<>();
        Sidecar sidecar = new Sidecar(epoch);

        @Nullable
        Sidecar paused;

        long pausedUntil;

        static EngineTarget target(long number) {
            return new EngineTarget(EngineRole.MIXED, "m", "", Long.toString(number));
        }

        static UpstreamView view(
                long epoch, @Nullable EngineTarget target, long number, OrderState orderState, long started) {
            Address address = new Address("127.0.0.1", 1);
            return new UpstreamView(
                    "e",
                    1,
                    UpstreamKind.ENGINE,
                    address,
                    "sc",
                    address,
                    epoch,
                    "fd",
                    "",
                    Lifecycle.ACTIVE,
                    target,
                    number,
                    orderState,
                    started,
                    false,
                    4);
        }

        void set(@Nullable EngineTarget target, long number, OrderState orderState, long started) {
            state = view(epoch, target, number, orderState, started);
        }

        void run(Step step) {
            switch (step.event()) {
                case ISSUE -> issue();
                case STEP -> advance(step.amount());
                case LOSE_NEXT_REPLY -> loseReply = true;
                case DELAY_NEXT_ORDER -> delayOrder = true;
                case ENGINE_CRASH -> crash();
                case ENGINE_UNREACHABLE -> unreachableUntil = now + step.amount();
                case FREEZE_VIEW -> viewFrozenUntil = now + step.amount();
                case REPLACE_SIDECAR -> replace(0);
                case PAUSE -> replace(step.amount() * 10L);
            }
        }

        void issue() {
            index++;
            set(target(index), index, OrderState.ISSUED, state.startedOrderNumber());
        }

        /** Registers a new sidecar. The old one is dead, or continues where it was after the given pause. */
        void replace(long pauseMillis) {
            paused = pauseMillis > 0 ? sidecar : null;
            pausedUntil = now + pauseMillis;
            epoch = ++index;
            set(state.target(), state.orderNumber(), state.orderState(), state.startedOrderNumber());
            sidecar = new Sidecar(epoch);
        }

        void crash() {
            engineTarget = target(0);
            engineToken = 0;
            changingUntil = 0;
            ordersInTransit.clear();
        }

        void advance(int ticks) {
            for (int i = 0; i < ticks; i++) {
                now += TICK;
                visibleState = now >= viewFrozenUntil ? state : visibleState;
                List<DelayedOrder> due = ordersInTransit.stream()
                        .filter(order -> order.atMillis() <= now)
                        .toList();
                ordersInTransit.removeAll(due);
                due.forEach(order -> carryOut(order.number(), order.target()));
                sidecar.tick();
                if (paused != null && now >= pausedUntil) {
                    paused.tick();
                }
            }
        }

        /** Carries out an order whatever its number, because the engine ignores fencing tokens. */
        void carryOut(long number, EngineTarget target) {
            assertThat(begun).contains(number);
            assertThat(ended).doesNotContain(number);
            assertThat(now).isAtLeast(changingUntil);
            assertThat(received).doesNotContain(number);
            received.stream().forEach(earlier -> assertThat(earlier).isLessThan(number));
            received.add(number);
            engineToken = number;
            engineTarget = target;
            changingUntil = now + 50;
        }

        boolean replyLost() {
            boolean lost = loseReply;
            loseReply = false;
            return lost;
        }

        /** A sidecar process that may perform an action late, as a paused process does. */
        final class Sidecar implements OrderPort {
            private final long ownEpoch;
            private final OrderExecutor executor = new OrderExecutor(TIMING);
            private boolean hadOrderAtLastQuery;
            private Optional<OrderAction> heldAction = Optional.empty();

            Sidecar(long ownEpoch) {
                this.ownEpoch = ownEpoch;
            }

            void tick() {
                Optional<OrderAction> action =
                        heldAction.isPresent() ? heldAction : executor.step(now, visibleState, 0, 1_000);
                heldAction = Optional.empty();
                action.ifPresent(next -> next.performOn(this));
            }

            @Override
            public void begin(long number) {
                boolean permitted = ownEpoch == epoch
                        && state.orderNumber() == number
                        && state.orderState() == OrderState.ISSUED
                        && state.startedOrderNumber() == 0;
                if (permitted) {
                    begun.add(number);
                    set(state.target(), number, OrderState.STARTED, number);
                }
                if (replyLost()) {
                    executor.onBeginUnanswered(now);
                } else {
                    // The send is held until the next tick, before which the process may be paused for a long time.
                    heldAction = executor.onBegun(permitted, now);
                }
            }

            @Override
            public void send(long number, EngineTarget target, long sendDeadlineMillis) {
                hadOrderAtLastQuery = false;
                if (now > sendDeadlineMillis || now < unreachableUntil) {
                    executor.onSent(SendResult.NOT_SENT, now);
                    return;
                }
                ordersInTransit.add(new DelayedOrder(now + (delayOrder ? ENGINE_DELAY : 0), number, target));
                boolean lost = delayOrder || replyLost();
                delayOrder = false;
                if (!lost) {
                    advanceEngineOnly();
                }
                executor.onSent(lost ? SendResult.LOST : SendResult.ACCEPTED, now);
            }

            private void advanceEngineOnly() {
                List<DelayedOrder> due = List.copyOf(ordersInTransit);
                ordersInTransit.clear();
                due.forEach(order -> carryOut(order.number(), order.target()));
            }

            @Override
            public void queryState() {
                if (now < unreachableUntil || replyLost()) {
                    executor.onStateUnavailable(now);
                } else {
                    hadOrderAtLastQuery = engineToken == executor.orderNumber()
                            && engineTarget.equals(target(engineToken))
                            && now >= changingUntil;
                    executor.onStateObserved(new EngineState(engineTarget, engineToken, now < changingUntil), now);
                }
            }

            @Override
            public void finish(long number, boolean succeeded, @Nullable EngineTarget observed, String text) {
                if (ownEpoch == epoch && state.startedOrderNumber() == number) {
                    assertThat(succeeded).isEqualTo(hadOrderAtLastQuery);
                    ended.add(number);
                    OrderState ended = succeeded ? OrderState.DONE : OrderState.FAILED;
                    boolean latest = state.orderNumber() == number;
                    set(state.target(), state.orderNumber(), latest ? ended : state.orderState(), 0);
                }
                if (replyLost()) {
                    executor.onFinishUnanswered(now);
                } else {
                    executor.onFinished(now);
                }
            }

            @Override
            public void abortStreams() {
                throw new AssertionError("abortStreams was called although no stream runs");
            }
        }
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Event> events = Arbitraries.frequency(
                Tuple.of(6, Event.ISSUE),
                Tuple.of(14, Event.STEP),
                Tuple.of(3, Event.LOSE_NEXT_REPLY),
                Tuple.of(2, Event.DELAY_NEXT_ORDER),
                Tuple.of(1, Event.ENGINE_CRASH),
                Tuple.of(1, Event.ENGINE_UNREACHABLE),
                Tuple.of(2, Event.FREEZE_VIEW),
                Tuple.of(1, Event.REPLACE_SIDECAR),
                Tuple.of(2, Event.PAUSE));
        return Combinators.combine(events, Arbitraries.integers().between(1, 60))
                .as(Step::new)
                .list()
                .ofMinSize(10)
                .ofMaxSize(60);
    }

    /** Guards against conflicting, repeated, reordered and unpermitted orders, and against orders that never finish. */
    @Property(tries = 3_000, seed = "20261204")
    void engineGetsOneOrderAtATimeAndEveryOrderEnds(@ForAll("steps") List<Step> steps) {
        Simulation simulation = new Simulation();
        steps.forEach(simulation::run);
        simulation.advance(400);
        assertThat(simulation.state.startedOrderNumber()).isEqualTo(0);
        assertThat(simulation.state.orderState()).isAnyOf(OrderState.NONE, OrderState.DONE, OrderState.FAILED);
    }
}
