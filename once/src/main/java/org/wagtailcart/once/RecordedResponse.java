package org.wagtailcart.once;

import java.util.List;

/**
 * Response of an upstream, recorded for repeated requests with the same key.
 *
 * @param status HTTP status
 * @param headers header lines, name and value alternating
 * @param body body; empty when not recorded
 * @param bodyKept whether the body was small enough to be recorded
 */
public record RecordedResponse(int status, List<String> headers, byte[] body, boolean bodyKept) {}
