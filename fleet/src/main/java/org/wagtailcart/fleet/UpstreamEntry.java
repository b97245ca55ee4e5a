package org.wagtailcart.fleet;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.Lifecycle;

/**
 * Replicated state of one upstream in addition to its settings.
 *
 * @param upstreamId upstream
 * @param lifecycle lifecycle state
 * @param replacementId upstream that replaced it, else empty
 * @param orderNumber latest order, 0 for none
 * @param orderState state of that order
 * @param target configuration of that order or, after a failure, the one that the engine reported; null for none
 * @param startedOrderNumber order that is started and not finished, 0 for none
 * @param startedEpoch epoch that started it, 0 for none
 * @param finishedOrderNumber order that was finished last, 0 for none
 */
record UpstreamEntry(
        String upstreamId,
        Lifecycle lifecycle,
        String replacementId,
        long orderNumber,
        OrderState orderState,
        @Nullable EngineTarget target,
        long startedOrderNumber,
        long startedEpoch,
        long finishedOrderNumber) {
    static UpstreamEntry initial(String upstreamId) {
        return new UpstreamEntry(upstreamId, Lifecycle.ACTIVE, "", 0, OrderState.NONE, null, 0, 0, 0);
    }

    UpstreamEntry withLifecycle(Lifecycle next, String replacement) {
        return new UpstreamEntry(
                upstreamId,
                next,
                replacement,
                orderNumber,
                orderState,
                target,
                startedOrderNumber,
                startedEpoch,
                finishedOrderNumber);
    }

    UpstreamEntry issued(long number, EngineTarget newTarget) {
        return new UpstreamEntry(
                upstreamId,
                lifecycle,
                replacementId,
                number,
                OrderState.ISSUED,
                newTarget,
                startedOrderNumber,
                startedEpoch,
                finishedOrderNumber);
    }

    UpstreamEntry started(long epoch) {
        return new UpstreamEntry(
                upstreamId,
                lifecycle,
                replacementId,
                orderNumber,
                OrderState.STARTED,
                target,
                orderNumber,
                epoch,
                finishedOrderNumber);
    }

    /** Returns the entry with the started order finished; a newer order issued in the meantime stays issued. */
    UpstreamEntry finished(boolean succeeded, @Nullable EngineTarget observed) {
        boolean latest = startedOrderNumber == orderNumber;
        OrderState outcome = succeeded ? OrderState.DONE : OrderState.FAILED;
        EngineTarget effective = latest && !succeeded && observed != null ? observed : target;
        return new UpstreamEntry(
                upstreamId,
                lifecycle,
                replacementId,
                orderNumber,
                latest ? outcome : orderState,
                effective,
                0,
                0,
                startedOrderNumber);
    }

    /** Returns whether the entry must be retained after its upstream is removed from the settings tree. */
    boolean isRetainedAfterRemoval() {
        return lifecycle.isFinal() || startedOrderNumber != 0;
    }
}
