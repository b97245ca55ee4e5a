package org.wagtailcart.usage;

import java.util.Map;

/**
 * Requests that upstreams began to run in one time window.
 *
 * @param window number of the window
 * @param countByWorkspace number of requests of each workspace
 */
public record WindowCounts(long window, Map<String, Long> countByWorkspace) {}
