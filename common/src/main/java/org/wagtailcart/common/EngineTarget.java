package org.wagtailcart.common;

/**
 * Desired or observed configuration of an engine.
 *
 * @param role part of the work the engine takes
 * @param model model name
 * @param adapter adapter name, empty for none
 * @param version weight version
 */
public record EngineTarget(EngineRole role, String model, String adapter, String version) {}
