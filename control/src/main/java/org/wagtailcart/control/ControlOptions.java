package org.wagtailcart.control;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;

/**
 * Options of a control member.
 *
 * @param operatorAddress listener for operators, null for none
 * @param operatorToken bearer token of operators, empty without a listener
 * @param leaseMillis time without confirmation after which processes refuse new work
 * @param digestMillis time between two digests to the leader
 * @param planMillis time between two runs of the planner on the leader
 */
public record ControlOptions(
        @Nullable Address operatorAddress, String operatorToken, long leaseMillis, long digestMillis, long planMillis) {
    /** Returns the options of production. */
    public static ControlOptions standard(@Nullable Address operatorAddress, String operatorToken) {
        return new ControlOptions(operatorAddress, operatorToken, 12_000, 500, 1_000);
    }
}
