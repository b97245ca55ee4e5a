package org.wagtailcart.gateway.send;

/**
 * Limits of one request to an upstream.
 *
 * @param headMillis time within which the head of the answer must arrive
 * @param readMillis longest pause within the body
 */
public record UpstreamTimeouts(long headMillis, long readMillis) {}
