package org.wagtailcart.sidecar.message;

import java.util.List;

/**
 * Event with the status and headers of the upstream's response.
 *
 * @param attemptId id of the attempt
 * @param status HTTP status
 * @param headers header lines, name and value alternating
 */
public record AttemptStarted(String attemptId, int status, List<String> headers) {}
