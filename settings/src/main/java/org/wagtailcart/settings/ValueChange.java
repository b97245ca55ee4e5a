package org.wagtailcart.settings;

import org.jspecify.annotations.Nullable;

/**
 * Difference of one key between two revisions of the settings tree.
 *
 * @param branch path of the branch
 * @param key key that the branch sets itself, empty for a branch without keys
 * @param before own value before, null when it had none
 * @param after own value after, null when it has none
 */
public record ValueChange(String branch, String key, @Nullable String before, @Nullable String after) {}
