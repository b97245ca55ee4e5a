package org.wagtailcart.control.client;

/**
 * Question of a gateway for the origin of a stream that its caller resumes.
 *
 * @param processId the gateway
 * @param requestId id of the attempt that delivered the first event
 */
public record FindOrigin(String processId, String requestId) {}
