package org.wagtailcart.policy.placement;

/**
 * Prefill rate of one engine, learned from its prefills.
 *
 * @param instanceId the engine
 * @param tokensPerMilli prompt tokens that it processes in a millisecond
 * @param samples number of prefills that the rate rests on
 */
public record EngineRate(String instanceId, double tokensPerMilli, int samples) {}
