package org.wagtailcart.gateway.send;

/**
 * Timeouts of one request to an upstream.
 *
 * @param headersMillis time limit for the status and headers of the response
 * @param readMillis limit on the gap between two reads of the body
 */
public record UpstreamTimeouts(long headersMillis, long readMillis) {}
