package org.wagtailcart.policy.quarantine;

import java.util.List;

/**
 * Crash of an engine, as observed by one gateway.
 *
 * @param engineId instance id of the engine
 * @param prompts shared segments and the key of each request that the engine had begun to answer, or was about to, in
 *     prompt order
 * @param atMillis monotonic time of the crash
 */
public record EngineCrash(String engineId, List<List<String>> prompts, long atMillis) {}
