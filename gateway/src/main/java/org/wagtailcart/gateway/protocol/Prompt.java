package org.wagtailcart.gateway.protocol;

import java.util.List;
import org.wagtailcart.policy.placement.PrefixCacheEstimate;

/**
 * What a request for generated text says of its size.
 *
 * @param model name of the model
 * @param promptTokens tokens of the whole prompt
 * @param maxOutputTokens tokens that may be generated at most
 * @param segments the prompt in order; the last part belongs to the request or its session alone
 */
public record Prompt(String model, int promptTokens, int maxOutputTokens, List<PrefixCacheEstimate.Segment> segments) {
    /** Returns the parts that other requests may have in common with this one. */
    public List<PrefixCacheEstimate.Segment> sharedSegments() {
        return segments.isEmpty() ? List.of() : segments.subList(0, segments.size() - 1);
    }
}
