package org.wagtailcart.gateway.protocol;

/**
 * Part of a prompt; requests with the same parts at the start share their KV cache.
 *
 * @param id identity of the part's text
 * @param tokens its size
 */
public record PromptPart(String id, int tokens) {}
