package org.wagtailcart.control.client;

import java.util.List;

/**
 * Crash of an engine that a gateway observed.
 *
 * @param engineId instance id of the engine
 * @param prompts the requests that the engine had begun to answer, or was about to
 * @param ageMillis time since the crash
 */
public record EngineCrashReport(String engineId, List<PromptSegments> prompts, long ageMillis) {
    /**
     * Shared segments of one request.
     *
     * @param segmentIds ids of the segments, in prompt order
     */
    public record PromptSegments(List<String> segmentIds) {}
}
