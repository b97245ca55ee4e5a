package org.wagtailcart.settings;

import org.jspecify.annotations.Nullable;

/**
 * Difference of one key between two revisions.
 *
 * @param branch branch
 * @param key key the branch sets itself
 * @param before own value before, null when it had none
 * @param after own value after, null when it has none
 */
public record ValueChange(String branch, String key, @Nullable String before, @Nullable String after) {}
