package org.wagtailcart.settings;

/**
 * One edit of the settings tree.
 *
 * @param kind what to do
 * @param branch path of the branch, {@code /} for the root
 * @param key key to set or remove, else empty
 * @param value value to set, or the new parent path for MOVE_BRANCH, else empty
 */
public record SettingsEdit(Kind kind, String branch, String key, String value) {
    /** Kinds of edit. */
    public enum Kind {
        /** Sets a key of a branch; creates the branch. */
        SET,
        /** Removes a key, so that the parent's value applies. */
        UNSET,
        /** Removes a branch with everything below it. */
        REMOVE_BRANCH,
        /** Moves a branch with everything below it under another parent. */
        MOVE_BRANCH
    }
}
