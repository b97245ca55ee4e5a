package org.wagtailcart.control;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;

/**
 * Options of a control member.
 *
 * @param operatorAddress listen address of the operator interface, null for none
 * @param operatorToken bearer token required from operators, empty without a listener
 * @param leaseMillis time without confirmation after which processes refuse new work
 * @param syncForwardIntervalMillis interval at which sync batches are forwarded to the leader
 * @param planIntervalMillis interval at which the leader runs its tasks and the planner
 */
public record ControlOptions(
        @Nullable Address operatorAddress,
        String operatorToken,
        long leaseMillis,
        long syncForwardIntervalMillis,
        long planIntervalMillis) {
    /** Returns the production defaults. */
    public static ControlOptions defaults(@Nullable Address operatorAddress, String operatorToken) {
        return new ControlOptions(operatorAddress, operatorToken, 12_000, 500, 1_000);
    }
}
