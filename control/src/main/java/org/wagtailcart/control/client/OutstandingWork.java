package org.wagtailcart.control.client;

/**
 * Outstanding work that gateways have sent to an upstream.
 *
 * @param instanceId the upstream
 * @param requests requests in flight
 * @param promptTokens prompt tokens of these requests that remain to be prefilled, estimated by the sender
 */
public record OutstandingWork(String instanceId, int requests, long promptTokens) {
    /** Returns the sum of this work and other work for the same upstream. */
    public OutstandingWork plus(OutstandingWork other) {
        return new OutstandingWork(instanceId, requests + other.requests, promptTokens + other.promptTokens);
    }
}
