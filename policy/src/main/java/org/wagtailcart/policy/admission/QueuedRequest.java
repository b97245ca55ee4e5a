package org.wagtailcart.policy.admission;

import org.wagtailcart.common.Priority;

/**
 * A request that waits for a pool.
 *
 * @param item the request as its owner knows it
 * @param priority scheduling class
 * @param enqueuedMillis time at which it joined the queue
 * @param startByMillis latest time at which a start still meets its deadline
 */
public record QueuedRequest<T>(T item, Priority priority, long enqueuedMillis, long startByMillis) {}
