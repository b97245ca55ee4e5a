package org.wagtailcart.gateway.protocol;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.policy.placement.PrefixCacheEstimate;

/**
 * Metadata parsed from the headers of a caller's request.
 *
 * @param requestId id of the request, empty if it has none
 * @param timeoutMillis time for which the caller waits for the response, empty if not stated
 * @param prompt size of the prompt, null if the request is not an inference request
 * @param lastEventId id of the last event received from an aborted stream, empty if there is none
 * @param resumes id of the attempt that delivered the first event of that stream, empty if it is not named
 */
public record RequestMetadata(
        String requestId, OptionalLong timeoutMillis, @Nullable Prompt prompt, String lastEventId, String resumes) {
    private static final String EVENT_NUMBER_PATTERN = "[0-9]{1,18}";

    /** Returns the number of the last event that the caller has, empty without a readable one. */
    public OptionalLong lastEventNumber() {
        return lastEventId.matches(EVENT_NUMBER_PATTERN)
                ? OptionalLong.of(Long.parseLong(lastEventId))
                : OptionalLong.empty();
    }

    /** Returns the id of the prompt segment that no other request shares, empty without a prompt. */
    public Optional<String> ownSegmentId() {
        return Optional.ofNullable(prompt).flatMap(Prompt::ownSegment).map(PrefixCacheEstimate.Segment::id);
    }

    /** Returns the ids of the prompt segments that other requests may share, in prompt order. */
    public List<String> sharedSegmentIds() {
        Prompt inferencePrompt = prompt;
        return inferencePrompt == null
                ? List.of()
                : inferencePrompt.sharedSegments().stream()
                        .map(PrefixCacheEstimate.Segment::id)
                        .toList();
    }
}
