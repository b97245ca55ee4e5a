package org.wagtailcart.sidecar.order;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.EngineTarget;

/** Action that an {@link OrderExecutor} requires next for an order. */
public sealed interface OrderAction {
    /** Performs the action on the given port. */
    void performOn(OrderPort port);

    /** See {@link OrderPort#begin}. */
    record Begin(long orderNumber) implements OrderAction {
        @Override
        public void performOn(OrderPort port) {
            port.begin(orderNumber);
        }
    }

    /** See {@link OrderPort#send}. */
    record Send(long orderNumber, EngineTarget target, long sendDeadlineMillis) implements OrderAction {
        @Override
        public void performOn(OrderPort port) {
            port.send(orderNumber, target, sendDeadlineMillis);
        }
    }

    /** See {@link OrderPort#queryState}. */
    record QueryState() implements OrderAction {
        @Override
        public void performOn(OrderPort port) {
            port.queryState();
        }
    }

    /** See {@link OrderPort#finish}. */
    record Finish(long orderNumber, boolean succeeded, @Nullable EngineTarget observed, String text)
            implements OrderAction {
        @Override
        public void performOn(OrderPort port) {
            port.finish(orderNumber, succeeded, observed, text);
        }
    }

    /** See {@link OrderPort#abortStreams}. */
    record AbortStreams() implements OrderAction {
        @Override
        public void performOn(OrderPort port) {
            port.abortStreams();
        }
    }
}
