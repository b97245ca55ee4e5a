package org.wagtailcart.control.client;

import java.util.List;

/**
 * Prompt segments that were added to the prefix cache of an engine, or are cached there already when its cache is
 * scanned.
 *
 * @param instanceId the engine
 * @param segmentIds ids of the segments, in prompt order
 * @param segmentTokenCounts sizes of the segments in tokens, in the same order
 */
public record PrefixCacheUpdate(String instanceId, List<String> segmentIds, List<Integer> segmentTokenCounts) {}
