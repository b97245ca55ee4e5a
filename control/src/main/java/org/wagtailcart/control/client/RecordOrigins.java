package org.wagtailcart.control.client;

import java.util.List;

/**
 * Origins of streams that a gateway has begun to deliver, for the control members to keep.
 *
 * @param processId the gateway
 * @param origins the origins
 */
public record RecordOrigins(String processId, List<RecordedOrigin> origins) {}
