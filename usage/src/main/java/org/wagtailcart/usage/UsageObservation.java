package org.wagtailcart.usage;

import java.util.OptionalLong;

/**
 * What the leader knows when it plans.
 *
 * @param nowMillis monotonic time
 * @param trueTimeMillis estimate of the true time, empty for none
 * @param observedSinceMillis monotonic time since which this member is the leader
 * @param contactSinceMillis monotonic time since which at least one gateway polls this member without a gap, empty while
 *     none does
 * @param completeUntilMillis true time until which the counts of all gateways are complete
 * @param earliestWindow oldest window with a count
 */
public record UsageObservation(
        long nowMillis,
        OptionalLong trueTimeMillis,
        long observedSinceMillis,
        OptionalLong contactSinceMillis,
        long completeUntilMillis,
        OptionalLong earliestWindow) {}
