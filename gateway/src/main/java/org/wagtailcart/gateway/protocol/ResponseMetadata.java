package org.wagtailcart.gateway.protocol;

/**
 * Metadata parsed from the status and headers of an upstream's response.
 *
 * @param status HTTP status
 * @param requestId id of the request that the response belongs to, empty if it carries none
 * @param hasServerStamp whether it carries the upstream's timestamp, which proves that the request ran
 * @param notRun whether it states that the request did not run and will not run
 * @param wrongInstance whether it was sent by an upstream instance other than the expected one
 * @param announcement what the upstream says about itself
 */
public record ResponseMetadata(
        int status,
        String requestId,
        boolean hasServerStamp,
        boolean notRun,
        boolean wrongInstance,
        UpstreamAnnouncement announcement) {
    /** Returns whether the status is 2xx. */
    public boolean success() {
        return status / 100 == 2;
    }
}
