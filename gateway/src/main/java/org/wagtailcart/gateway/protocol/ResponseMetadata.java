package org.wagtailcart.gateway.protocol;

/**
 * What status and headers of an upstream's answer say.
 *
 * @param status HTTP status
 * @param requestId identity of the request that it answers, empty when it names none
 * @param hasServerStamp whether it carries the upstream's proof of a run
 * @param notRun whether it states that the request did not run and will not
 * @param wrongInstance whether another upstream than the expected one answered
 */
public record ResponseMetadata(
        int status, String requestId, boolean hasServerStamp, boolean notRun, boolean wrongInstance) {
    /** Returns whether the upstream ran the request with success. */
    public boolean success() {
        return status / 100 == 2;
    }
}
