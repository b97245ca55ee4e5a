package org.wagtailcart.control.client;

import java.util.List;

/**
 * News that an engine reads prompt parts that it did not hold before.
 *
 * @param instanceId the engine
 * @param segmentIds identities of the parts, in order
 * @param segmentTokenCounts their sizes
 */
public record PrefixCacheUpdate(String instanceId, List<String> segmentIds, List<Integer> segmentTokenCounts) {}
