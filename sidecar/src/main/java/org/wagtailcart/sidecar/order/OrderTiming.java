package org.wagtailcart.sidecar.order;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Timeouts and intervals of the execution of orders.
 *
 * @param sendTimeoutMillis longest time from requesting the start of an order to writing it to the engine
 * @param lateDeliveryMillis time for which an order with a lost reply may still reach the engine
 * @param pollMillis interval between queries of the engine's state
 * @param retryMillis interval between retries of commands to the control group
 */
public record OrderTiming(long sendTimeoutMillis, long lateDeliveryMillis, long pollMillis, long retryMillis) {
    /** Creates the timing; lateDeliveryMillis must exceed sendTimeoutMillis. */
    public OrderTiming {
        // Otherwise a new sidecar process could find an order not sent while its predecessor may still send it.
        if (lateDeliveryMillis <= sendTimeoutMillis) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT,
                    "lateDeliveryMillis " + lateDeliveryMillis + " must exceed sendTimeoutMillis " + sendTimeoutMillis);
        }
    }

    /** Returns the production timing. */
    public static OrderTiming standard() {
        return new OrderTiming(2_000, 5_000, 500, 500);
    }
}
