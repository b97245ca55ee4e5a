package org.wagtailcart.policy.stream;

/**
 * Where a stream began, which restricts the upstreams that may continue it.
 *
 * @param service service whose upstream delivered the first event
 * @param softwareVersion version of the software of that upstream
 */
public record StreamOrigin(String service, String softwareVersion) {}
