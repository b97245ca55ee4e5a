package org.wagtailcart.control.client;

import java.util.List;

/**
 * Answer to {@link SyncBatch}.
 *
 * @param leading whether the receiver is the leader and took the digest
 * @param grants power grants for the upstreams in the digest
 * @param entryCount entries that sync with any member
 */
public record SyncBatchReply(boolean leading, List<PowerGrant> grants, int entryCount) {}
