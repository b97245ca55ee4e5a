package org.wagtailcart.sidecar.order;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.fleet.OrderState;
import org.wagtailcart.fleet.UpstreamView;

/**
 * Decides what to do next for the orders of one engine, strictly one after another. An order is sent only after the
 * control group has recorded its start, and its outcome is never guessed. Not safe for use by several threads.
 */
public final class OrderExecutor {
    /** Where the order at hand stands. */
    public enum Phase {
        IDLE,
        BEGINNING,
        SENDING,
        WATCHING,
        FINISHING
    }

    private final OrderTiming timing;
    // Volatile, because a state dump reads it from another thread.
    private volatile Phase phase = Phase.IDLE;
    private boolean resultPending;
    private long nextStepMillis = Long.MIN_VALUE;
    private long finishedNumber;
    private long orderNumber;
    private @Nullable EngineTarget target;
    private long beginMillis;
    private long drainDeadlineMillis = Long.MAX_VALUE;
    private SendResult sendResult = SendResult.LOST;
    private long lateDeliveryEndMillis;
    private OrderAction.@Nullable Finish finishAction;

    /** Creates an executor without an order. */
    public OrderExecutor(OrderTiming timing) {
        this.timing = timing;
    }

    /** Returns where the order at hand stands. */
    public Phase phase() {
        return phase;
    }

    /** Returns the number of the order at hand or, when idle, of the latest one; 0 for none. */
    public long orderNumber() {
        return orderNumber;
    }

    /** Returns whether an order is at hand, so that the engine takes no new work. */
    public boolean busy() {
        return phase != Phase.IDLE;
    }

    /**
     * Returns the next action, if one is due.
     *
     * @param nowMillis monotonic time
     * @param view the engine as known now
     * @param running requests that run on the engine
     * @param drainLimitMillis time that running requests get before they are moved elsewhere
     */
    public Optional<OrderAction> step(long nowMillis, UpstreamView view, int running, long drainLimitMillis) {
        if (resultPending || nowMillis < nextStepMillis) {
            return Optional.empty();
        }
        return switch (phase) {
            case IDLE -> takeOrder(nowMillis, view, running, drainLimitMillis);
            case BEGINNING -> begin(nowMillis);
            case SENDING, WATCHING -> awaitResultOf(new OrderAction.QueryState());
            case FINISHING -> Optional.ofNullable(finishAction).flatMap(this::awaitResultOf);
        };
    }

    /** Reports the answer to {@link OrderAction.Begin}. Returns the order to be sent at once when it was permitted. */
    public Optional<OrderAction> onBegun(boolean permitted, long nowMillis) {
        requirePhase(Phase.BEGINNING);
        EngineTarget ordered = target;
        if (!permitted || ordered == null) {
            enterPhase(Phase.IDLE, nowMillis + timing.retryMillis());
            return Optional.empty();
        }
        phase = Phase.SENDING;
        return awaitResultOf(new OrderAction.Send(orderNumber, ordered, beginMillis + timing.sendTimeoutMillis()));
    }

    /** Reports that the control group gave no answer to {@link OrderAction.Begin}. */
    public void onBeginUnanswered(long nowMillis) {
        requirePhase(Phase.BEGINNING);
        enterPhase(Phase.BEGINNING, nowMillis + timing.retryMillis());
    }

    /** Reports the result of {@link OrderAction.Send}. */
    public void onSent(SendResult result, long nowMillis) {
        requirePhase(Phase.SENDING);
        if (result == SendResult.NOT_SENT) {
            finishOrder(false, null, "order was not sent: engine not reachable, or permission too old", nowMillis);
            return;
        }
        watch(result, nowMillis);
    }

    /** Reports the engine's answer to {@link OrderAction.QueryState}. */
    public void onStateObserved(EngineState state, long nowMillis) {
        requirePhase(Phase.WATCHING);
        if (state.changing()) {
            enterPhase(Phase.WATCHING, nowMillis + timing.pollMillis());
        } else if (state.fencingToken() == orderNumber) {
            boolean reached = target == null || state.target().equals(target);
            finishOrder(reached, state.target(), reached ? "" : "engine ended in another configuration", nowMillis);
        } else if (state.fencingToken() > orderNumber) {
            finishOrder(false, state.target(), "engine has a later order " + state.fencingToken(), nowMillis);
        } else if (sendResult == SendResult.LOST && nowMillis < lateDeliveryEndMillis) {
            enterPhase(Phase.WATCHING, nowMillis + timing.pollMillis());
        } else {
            finishOrder(false, state.target(), "engine does not have the order: " + sendResult, nowMillis);
        }
    }

    /** Reports that the engine did not answer {@link OrderAction.QueryState}. */
    public void onStateUnavailable(long nowMillis) {
        requirePhase(Phase.WATCHING);
        enterPhase(Phase.WATCHING, nowMillis + timing.pollMillis());
    }

    /** Reports that the control group answered {@link OrderAction.Finish}; a refusal means another process finished it. */
    public void onFinished(long nowMillis) {
        requirePhase(Phase.FINISHING);
        finishedNumber = orderNumber;
        enterPhase(Phase.IDLE, nowMillis);
    }

    /** Reports that the control group gave no answer to {@link OrderAction.Finish}. */
    public void onFinishUnanswered(long nowMillis) {
        requirePhase(Phase.FINISHING);
        enterPhase(Phase.FINISHING, nowMillis + timing.retryMillis());
    }

    private Optional<OrderAction> takeOrder(long nowMillis, UpstreamView view, int running, long drainLimitMillis) {
        // The view lags: it may still show an order that this executor has finished.
        if (view.startedOrderNumber() > finishedNumber) {
            orderNumber = view.startedOrderNumber();
            target = view.orderNumber() == orderNumber ? view.target() : null;
            watch(SendResult.LOST, nowMillis);
            return awaitResultOf(new OrderAction.QueryState());
        }
        if (view.orderState() != OrderState.ISSUED || view.orderNumber() <= finishedNumber) {
            drainDeadlineMillis = Long.MAX_VALUE;
            return Optional.empty();
        }
        if (running > 0) {
            return drain(nowMillis, drainLimitMillis);
        }
        drainDeadlineMillis = Long.MAX_VALUE;
        orderNumber = view.orderNumber();
        target = view.target();
        return begin(nowMillis);
    }

    private Optional<OrderAction> drain(long nowMillis, long drainLimitMillis) {
        if (drainDeadlineMillis == Long.MAX_VALUE) {
            drainDeadlineMillis = nowMillis + drainLimitMillis;
        }
        if (nowMillis < drainDeadlineMillis) {
            return Optional.empty();
        }
        nextStepMillis = nowMillis + timing.pollMillis();
        return Optional.of(new OrderAction.AbortStreams());
    }

    private Optional<OrderAction> begin(long nowMillis) {
        phase = Phase.BEGINNING;
        beginMillis = nowMillis;
        return awaitResultOf(new OrderAction.Begin(orderNumber));
    }

    private void watch(SendResult result, long nowMillis) {
        sendResult = result;
        lateDeliveryEndMillis = nowMillis + timing.lateDeliveryMillis();
        enterPhase(Phase.WATCHING, nowMillis);
    }

    private void finishOrder(boolean succeeded, @Nullable EngineTarget observed, String text, long nowMillis) {
        finishAction = new OrderAction.Finish(orderNumber, succeeded, observed, text);
        enterPhase(Phase.FINISHING, nowMillis);
    }

    private void enterPhase(Phase next, long notBeforeMillis) {
        phase = next;
        resultPending = false;
        nextStepMillis = notBeforeMillis;
    }

    private Optional<OrderAction> awaitResultOf(OrderAction action) {
        resultPending = true;
        return Optional.of(action);
    }

    private void requirePhase(Phase expected) {
        if (phase != expected || !resultPending) {
            throw new IllegalStateException("result for phase " + expected + " in phase " + phase);
        }
    }
}
