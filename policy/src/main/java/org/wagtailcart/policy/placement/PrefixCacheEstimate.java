package org.wagtailcart.policy.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * LRU model of the prompt segments in an engine's KV cache, estimated from the prompts that were sent to it. Not thread
 * safe.
 */
public final class PrefixCacheEstimate {
    /**
     * Segment of a prompt; requests that begin with the same segments share their KV cache.
     *
     * @param id identity of the segment's text
     * @param tokens size of the segment
     */
    public record Segment(String id, int tokens) {}

    private long capacityTokens;
    private final Map<String, Integer> tokensById = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedTokenCount;

    /** Creates an empty model of a cache with the given capacity. */
    public PrefixCacheEstimate(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Sets the tokens that the engine can cache, and evicts segments that exceed them. */
    public void setCapacityTokens(long tokens) {
        capacityTokens = tokens;
        evict();
    }

    /** Returns the cached tokens at the start of a prompt; a segment counts only when all before it are cached. */
    public int cachedTokens(List<Segment> segments) {
        int cached = 0;
        for (Segment segment : segments) {
            if (!tokensById.containsKey(segment.id())) {
                return cached;
            }
            cached += segment.tokens();
        }
        return cached;
    }

    /** Records the prefill of a prompt, which caches its segments. */
    public void recordPrefill(List<Segment> segments) {
        segments.forEach(segment -> {
            Integer previousTokens = tokensById.put(segment.id(), segment.tokens());
            cachedTokenCount += segment.tokens() - (previousTokens == null ? 0 : previousTokens);
        });
        evict();
    }

    private void evict() {
        Iterator<Integer> oldest = tokensById.values().iterator();
        while (cachedTokenCount > capacityTokens && oldest.hasNext()) {
            cachedTokenCount -= oldest.next();
            oldest.remove();
        }
    }
}
