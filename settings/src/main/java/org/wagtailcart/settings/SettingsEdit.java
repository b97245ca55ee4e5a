package org.wagtailcart.settings;

/**
 * One edit of the settings tree.
 *
 * @param kind operation
 * @param branch path of the branch, {@code /} for the root
 * @param key key to set or remove, else empty; SET with an empty key creates a branch that sets no key
 * @param value value to set, or the new parent path for MOVE_BRANCH, else empty
 */
public record SettingsEdit(Kind kind, String branch, String key, String value) {
    /** Kinds of edit. */
    public enum Kind {
        /** Sets a key of a branch and creates the branch if it does not exist. */
        SET,
        /** Removes a key, so that the parent's value applies. */
        UNSET,
        /** Removes a branch with everything below it. */
        REMOVE_BRANCH,
        /** Moves a branch with everything below it under another parent. */
        MOVE_BRANCH
    }

    /** Returns an edit that sets a key. */
    public static SettingsEdit set(String branch, String key, String value) {
        return new SettingsEdit(Kind.SET, branch, key, value);
    }

    /** Returns an edit that creates a branch that sets no key. */
    public static SettingsEdit create(String branch) {
        return new SettingsEdit(Kind.SET, branch, "", "");
    }

    /** Returns an edit that removes a key. */
    public static SettingsEdit unset(String branch, String key) {
        return new SettingsEdit(Kind.UNSET, branch, key, "");
    }

    /** Returns an edit that removes a branch with everything below it. */
    public static SettingsEdit remove(String branch) {
        return new SettingsEdit(Kind.REMOVE_BRANCH, branch, "", "");
    }

    /** Returns an edit that moves a branch under another parent. */
    public static SettingsEdit move(String branch, String newParent) {
        return new SettingsEdit(Kind.MOVE_BRANCH, branch, "", newParent);
    }
}
