package org.wagtailcart.control.client;

import java.util.List;

/**
 * Batch of the sync requests that a member received, forwarded to the leader every 500 ms.
 *
 * @param memberId the forwarding member
 * @param requests the latest request of each process since the previous batch
 */
public record SyncBatch(String memberId, List<SyncRequest> requests) {}
