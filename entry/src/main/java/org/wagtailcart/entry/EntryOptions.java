package org.wagtailcart.entry;

import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Process settings of an entry.
 *
 * @param callerAddress listen address for callers
 * @param controlLossPolicy policy for new work while the settings are not confirmed
 * @param shutdownGraceMillis time for which new work is still accepted after readiness fails
 */
public record EntryOptions(Address callerAddress, ControlLossPolicy controlLossPolicy, long shutdownGraceMillis) {
    /** Validates the grace period. */
    public EntryOptions {
        if (shutdownGraceMillis < 0 || shutdownGraceMillis > 600_000) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT,
                    "shutdown-grace-millis " + shutdownGraceMillis + " is outside the range 0 to 600000");
        }
    }
}
