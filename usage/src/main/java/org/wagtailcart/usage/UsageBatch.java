package org.wagtailcart.usage;

import java.util.List;

/**
 * Counts that a gateway sends to a control member. They are cumulative, so that a batch may be repeated, lost or
 * overtaken by a later one.
 *
 * @param incarnation start of the gateway process; counts of several incarnations add up
 * @param sequence number of the batch within the incarnation, acknowledged by the member
 * @param completeUntilMillis true time until which the counts are complete
 * @param windows cumulative counts of the windows that changed since the last acknowledged batch
 */
public record UsageBatch(long incarnation, long sequence, long completeUntilMillis, List<WindowCounts> windows) {}
