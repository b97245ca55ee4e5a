package org.wagtailcart.common;

/**
 * Desired or observed role, model, adapter and weight version of an engine.
 *
 * @param role whether the engine runs prefill, decode or both
 * @param model model name
 * @param adapter adapter name, empty for none
 * @param version weight version
 */
public record EngineTarget(EngineRole role, String model, String adapter, String version) {}
