package org.wagtailcart.control.client;

import java.util.List;

/**
 * Reply to {@link SyncBatch}.
 *
 * @param leading whether the receiver is the leader and recorded the batch
 * @param grants power grants for the upstreams in the batch
 * @param entryCount number of entries that sync with any member
 */
public record SyncBatchReply(boolean leading, List<PowerGrant> grants, int entryCount) {}
