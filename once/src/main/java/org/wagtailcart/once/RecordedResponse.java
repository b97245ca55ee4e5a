package org.wagtailcart.once;

import java.util.List;

/**
 * Answer of an upstream as kept for repeats.
 *
 * @param status HTTP status
 * @param headers header lines, name and value alternating
 * @param body body; empty when not kept
 * @param bodyKept whether the body was small enough to be kept
 */
public record RecordedResponse(int status, List<String> headers, byte[] body, boolean bodyKept) {}
