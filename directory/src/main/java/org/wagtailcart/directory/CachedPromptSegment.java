package org.wagtailcart.directory;

/**
 * Part of a prompt whose KV cache an engine holds.
 *
 * @param id identity of the part's text
 * @param tokens tokens of it that are held
 */
public record CachedPromptSegment(String id, int tokens) {}
