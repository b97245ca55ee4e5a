package org.wagtailcart.control.client;

import java.util.List;

/**
 * Answer to {@link ProcessesRequest}.
 *
 * @param leading whether the receiver is the leader
 * @param observedMillis time for which it has collected digests as the leader
 * @param processes processes seen lately
 */
public record ProcessesReply(boolean leading, long observedMillis, List<ProcessStatus> processes) {}
