package org.wagtailcart.control.client;

/**
 * Permission for an engine to run hard. A duration, because the clocks of hosts differ; the receiver stores the deadline.
 *
 * @param upstreamId engine
 * @param validMillis time from receipt for which it may run hard
 */
public record PowerGrant(String upstreamId, long validMillis) {}
