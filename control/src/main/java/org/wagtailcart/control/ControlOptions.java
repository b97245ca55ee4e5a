package org.wagtailcart.control;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;

/**
 * Options of a control member.
 *
 * @param operatorAddress listener for operators, null for none
 * @param operatorToken bearer token of operators, empty without a listener
 * @param leaseMillis time without confirmation after which processes refuse new work
 * @param syncForwardIntervalMillis time between two digests to the leader
 * @param planIntervalMillis time between two runs of the planner on the leader
 */
public record ControlOptions(
        @Nullable Address operatorAddress,
        String operatorToken,
        long leaseMillis,
        long syncForwardIntervalMillis,
        long planIntervalMillis) {
    /** Returns the options of production. */
    public static ControlOptions defaults(@Nullable Address operatorAddress, String operatorToken) {
        return new ControlOptions(operatorAddress, operatorToken, 12_000, 500, 1_000);
    }
}
