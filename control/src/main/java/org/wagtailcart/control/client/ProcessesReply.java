package org.wagtailcart.control.client;

import java.util.List;

/**
 * Reply to {@link ProcessesRequest}.
 *
 * @param leading whether the receiver is the leader
 * @param observedMillis time for which the receiver has collected sync batches as the leader
 * @param processes processes with a recent sync
 */
public record ProcessesReply(boolean leading, long observedMillis, List<ProcessStatus> processes) {}
