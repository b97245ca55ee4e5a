package org.wagtailcart.sidecar.order;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.fleet.OrderState;
import org.wagtailcart.fleet.UpstreamView;

/**
 * State machine that carries out the orders of one engine strictly one after another. An order is sent only after the
 * control group has recorded its start, and its outcome is reported only when it is certain. Not thread-safe.
 */
public final class OrderExecutor {
    /** Phase of the current order. */
    public enum Phase {
        IDLE,
        BEGINNING,
        SENDING,
        WATCHING,
        FINISHING
    }

    private final OrderTiming timing;
    // Volatile because a state dump reads it on another thread.
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

    /** Creates an idle executor. */
    public OrderExecutor(OrderTiming timing) {
        this.timing = timing;
    }

    /** Returns the phase of the current order. */
    public Phase phase() {
        return phase;
    }

    /** Returns the number of the current order or, when idle, of the latest one; 0 if there was none. */
    public long orderNumber() {
        return orderNumber;
    }

    /** Returns whether an order is in progress, in which case the engine must get no new requests. */
    public boolean busy() {
        return phase != Phase.IDLE;
    }

    /**
     * Returns the next action, if one is due.
     *
     * @param nowMillis monotonic time
     * @param view replicated state of the engine, which may lag
     * @param running requests that run or are queued for the engine
     * @param drainLimitMillis time until running streams are aborted and resumed on other engines
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

    /** Reports the reply to {@link OrderAction.Begin}. If the order is permitted, returns the action that sends it. */
    public Optional<OrderAction> onBegun(boolean permitted, long nowMillis) {
        requirePhase(Phase.BEGINNING);
        EngineTarget orderedTarget = target;
        if (!permitted || orderedTarget == null) {
            enterPhase(Phase.IDLE, nowMillis + timing.retryMillis());
            return Optional.empty();
        }
        phase = Phase.SENDING;
        return awaitResultOf(
                new OrderAction.Send(orderNumber, orderedTarget, beginMillis + timing.sendTimeoutMillis()));
    }

    /** Reports that the control group sent no reply to {@link OrderAction.Begin}. */
    public void onBeginUnanswered(long nowMillis) {
        requirePhase(Phase.BEGINNING);
        enterPhase(Phase.BEGINNING, nowMillis + timing.retryMillis());
    }

    /** Reports the result of {@link OrderAction.Send}. */
    public void onSent(SendResult result, long nowMillis) {
        requirePhase(Phase.SENDING);
        if (result == SendResult.NOT_SENT) {
            finishOrder(
                    false,
                    null,
                    "order was not sent: engine is not reachable, or the send timeout has passed",
                    nowMillis);
            return;
        }
        watch(result, nowMillis);
    }

    /** Reports the engine's reply to {@link OrderAction.QueryState}. */
    public void onStateObserved(EngineState state, long nowMillis) {
        requirePhase(Phase.WATCHING);
        if (state.changing()) {
            enterPhase(Phase.WATCHING, nowMillis + timing.pollMillis());
        } else if (state.fencingToken() == orderNumber) {
            boolean reached = target == null || state.target().equals(target);
            finishOrder(
                    reached,
                    state.target(),
                    reached ? "" : "engine finished the order with another configuration than its target",
                    nowMillis);
        } else if (state.fencingToken() > orderNumber) {
            finishOrder(
                    false, state.target(), "engine has accepted the later order " + state.fencingToken(), nowMillis);
        } else if (sendResult == SendResult.LOST && nowMillis < lateDeliveryEndMillis) {
            enterPhase(Phase.WATCHING, nowMillis + timing.pollMillis());
        } else {
            finishOrder(
                    false,
                    state.target(),
                    "engine does not report the order; result of sending it: " + sendResult,
                    nowMillis);
        }
    }

    /** Reports that the engine did not reply to {@link OrderAction.QueryState}. */
    public void onStateUnavailable(long nowMillis) {
        requirePhase(Phase.WATCHING);
        enterPhase(Phase.WATCHING, nowMillis + timing.pollMillis());
    }

    /**
     * Reports that the control group replied to {@link OrderAction.Finish}. A rejection also ends the order, because it
     * means that another process has finished it.
     */
    public void onFinished(long nowMillis) {
        requirePhase(Phase.FINISHING);
        finishedNumber = orderNumber;
        enterPhase(Phase.IDLE, nowMillis);
    }

    /** Reports that the control group sent no reply to {@link OrderAction.Finish}. */
    public void onFinishUnanswered(long nowMillis) {
        requirePhase(Phase.FINISHING);
        enterPhase(Phase.FINISHING, nowMillis + timing.retryMillis());
    }

    private Optional<OrderAction> takeOrder(long nowMillis, UpstreamView view, int running, long drainLimitMillis) {
        // The view lags and may still contain an order that this executor has finished.
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
            throw new IllegalStateException("unexpected result for phase " + expected + " in phase " + phase);
        }
    }
}
