package org.wagtailcart.usage;

import java.util.List;

/**
 * Counts that a gateway sends to a control member. They are cumulative, so that a batch may be repeated, lost or
 * overtaken by a later one.
 *
 * @param incarnation start of the gateway process; counts of several incarnations add up
 * @param sequence number of the batch, acknowledged by the member; greater than the incarnation, so that two
 *     incarnations do not share numbers
 * @param completeUntilMillis true time until which the counts are complete
 * @param windows cumulative counts that changed since the last acknowledged batch
 * @param afterSequence number of that batch, 0 if the batch has all counts
 */
public record UsageBatch(
        long incarnation, long sequence, long completeUntilMillis, List<WindowCounts> windows, long afterSequence) {}
