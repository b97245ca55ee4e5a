package org.wagtailcart.sidecar.order;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.EngineTarget;

/** What an order executor makes its shell do. Each call is followed by the report of its result. */
public interface OrderPort {
    /** Asks the control group for permission to start the order. */
    void begin(long orderNumber);

    /** Sends the order to the engine, unless the given monotonic time has passed when its first byte would be written. */
    void send(long orderNumber, EngineTarget target, long sendDeadlineMillis);

    /** Asks the engine for its state. */
    void queryState();

    /** Reports the outcome of the order to the control group. */
    void finish(long orderNumber, boolean succeeded, @Nullable EngineTarget observed, String text);

    /** Ends the streams that still run, so that entries resume them elsewhere. No result is reported. */
    void abortStreams();
}
