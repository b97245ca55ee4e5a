package org.wagtailcart.directory;

/**
 * Prompt segment that is cached in an engine's KV cache.
 *
 * @param id identity of the segment's text
 * @param tokens number of its tokens that are cached
 */
public record CachedPromptSegment(String id, int tokens) {}
