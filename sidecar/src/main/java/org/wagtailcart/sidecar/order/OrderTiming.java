package org.wagtailcart.sidecar.order;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Times of the order execution.
 *
 * @param sendTimeoutMillis time from the request for permission within which the order must be written to the engine
 * @param lateDeliveryMillis time after a lost order in which the engine may still get it
 * @param pollMillis time between questions to the engine
 * @param retryMillis time between attempts to reach the control group
 */
public record OrderTiming(long sendTimeoutMillis, long lateDeliveryMillis, long pollMillis, long retryMillis) {
    /** Checks the times. */
    public OrderTiming {
        // A successor must not conclude that an order was never sent while its predecessor may still send it.
        if (lateDeliveryMillis <= sendTimeoutMillis) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT,
                    "settleMillis " + lateDeliveryMillis + " must exceed sendLimitMillis " + sendTimeoutMillis);
        }
    }

    /** Returns the times of production. */
    public static OrderTiming standard() {
        return new OrderTiming(2_000, 5_000, 500, 500);
    }
}
