package org.wagtailcart.once;

/**
 * Identifies a non-idempotent request by its workspace and Idempotency-Key.
 *
 * @param workspace workspace of the caller
 * @param key the caller's Idempotency-Key
 */
public record KeyId(String workspace, String key) {}
