package org.wagtailcart.sidecar.message;

import java.util.List;

/**
 * The upstream answered.
 *
 * @param attemptId the attempt
 * @param status HTTP status
 * @param headers header lines, name and value alternating
 */
public record AttemptStarted(String attemptId, int status, List<String> headers) {}
