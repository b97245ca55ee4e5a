package org.wagtailcart.control.client;

/**
 * Origin of a stream that a gateway has begun to deliver.
 *
 * @param requestId id of the attempt that delivered the first event
 * @param service service whose upstream delivered it
 * @param softwareVersion version of the software of that upstream
 * @param validMillis time for which the stream may be resumed
 */
public record RecordedOrigin(String requestId, String service, String softwareVersion, long validMillis) {}
