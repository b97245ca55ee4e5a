package org.wagtailcart.policy.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimate of the prompt parts that an engine holds, from what was sent to it. The least recently used parts leave first.
 * Not thread safe.
 */
public final class PrefixCacheEstimate {
    /**
     * Part of a prompt; requests with the same parts at the start share their KV cache.
     *
     * @param id identity of the part's text
     * @param tokens its size
     */
    public record Segment(String id, int tokens) {}

    private long capacityTokens;
    private final Map<String, Integer> tokensById = new LinkedHashMap<>(16, 0.75f, true);
    private long heldTokens;

    /** Creates an empty cache. */
    public PrefixCacheEstimate(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Sets the tokens that the engine can hold. */
    public void setCapacityTokens(long tokens) {
        capacityTokens = tokens;
        evict();
    }

    /** Returns the tokens at the start of a prompt that the engine holds; a part counts only after all before it. */
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

    /** Notes that the engine reads a prompt. */
    public void recordPrefill(List<Segment> segments) {
        segments.forEach(part -> {
            Integer previousTokens = tokensById.put(part.id(), part.tokens());
            heldTokens += part.tokens() - (previousTokens == null ? 0 : previousTokens);
        });
        evict();
    }

    private void evict() {
        Iterator<Integer> oldest = tokensById.values().iterator();
        while (heldTokens > capacityTokens && oldest.hasNext()) {
            heldTokens -= oldest.next();
            oldest.remove();
        }
    }
}
