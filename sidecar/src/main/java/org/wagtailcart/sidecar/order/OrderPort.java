package org.wagtailcart.sidecar.order;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.EngineTarget;

/**
 * Operations through which an {@link OrderExecutor} acts on the control group and the engine. The implementation
 * reports the result of each call to the executor unless stated otherwise.
 */
public interface OrderPort {
    /** Requests permission to start the order from the control group. */
    void begin(long orderNumber);

    /** Sends the order to the engine, unless its first byte cannot be written by the given monotonic time. */
    void send(long orderNumber, EngineTarget target, long sendDeadlineMillis);

    /** Queries the state of the engine. */
    void queryState();

    /** Reports the outcome of the order to the control group. */
    void finish(long orderNumber, boolean succeeded, @Nullable EngineTarget observed, String text);

    /** Aborts the running streams, so that entries resume them on other engines. No result is reported. */
    void abortStreams();
}
