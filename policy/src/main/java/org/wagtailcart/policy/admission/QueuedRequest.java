package org.wagtailcart.policy.admission;

import org.wagtailcart.common.Priority;

/**
 * Request in the admission queue of a pool.
 *
 * @param item the request
 * @param priority scheduling class
 * @param enqueuedMillis time at which it was queued
 * @param startByMillis latest time at which a start still meets its deadline
 */
public record QueuedRequest<T>(T item, Priority priority, long enqueuedMillis, long startByMillis) {}
