package org.wagtailcart.control.client;

import java.util.List;

/**
 * Latest sync requests that a member received, forwarded to the leader every 500 ms.
 *
 * @param memberId the forwarding member
 * @param requests the latest request of each process since the previous digest
 */
public record SyncBatch(String memberId, List<SyncRequest> requests) {}
