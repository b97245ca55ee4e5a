package org.wagtailcart.gateway.protocol;

import java.util.List;
import java.util.Optional;
import org.wagtailcart.policy.placement.PrefixCacheEstimate;

/**
 * Size and segments of the prompt of an inference request.
 *
 * @param model name of the model
 * @param promptTokens number of tokens of the complete prompt
 * @param maxOutputTokens maximum number of output tokens
 * @param segments segments of the prompt in order; the last one belongs to this request or its session only
 */
public record Prompt(String model, int promptTokens, int maxOutputTokens, List<PrefixCacheEstimate.Segment> segments) {
    /** Returns the segments that other requests may share with this one. */
    public List<PrefixCacheEstimate.Segment> sharedSegments() {
        return segments.isEmpty() ? List.of() : segments.subList(0, segments.size() - 1);
    }

    /** Returns the segment that belongs to this request or its session only. */
    public Optional<PrefixCacheEstimate.Segment> ownSegment() {
        return segments.isEmpty() ? Optional.empty() : Optional.of(segments.get(segments.size() - 1));
    }
}
