package org.wagtailcart.control.client;

/**
 * Work that gateways have sent to an upstream and that is not finished.
 *
 * @param instanceId the upstream
 * @param requests requests in flight
 * @param promptTokens prompt tokens that it still has to read for them, by the sender's estimate
 */
public record OutstandingWork(String instanceId, int requests, long promptTokens) {
    /** Returns the sum of two reports on one upstream. */
    public OutstandingWork plus(OutstandingWork other) {
        return new OutstandingWork(instanceId, requests + other.requests, promptTokens + other.promptTokens);
    }
}
