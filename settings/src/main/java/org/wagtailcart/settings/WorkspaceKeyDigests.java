package org.wagtailcart.settings;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Reader of the digests of API keys in the settings tree. A digest counts for the branch that sets it itself. */
public final class WorkspaceKeyDigests {
    private static final String WORKSPACES = "/workspaces";
    private static final String SALT = SettingsKey.KEY_SALT.settingName();
    private static final String DIGESTS = SettingsKey.KEY_DIGESTS.settingName();

    private WorkspaceKeyDigests() {}

    /** Returns the salt of the digests as text, empty if there is none. */
    public static Optional<String> salt(SettingsTree tree) {
        return Optional.ofNullable(tree.ownValues(WORKSPACES).get(SALT));
    }

    /** Returns the digests of each workspace that has any. */
    public static SortedMap<String, List<String>> byWorkspace(SettingsTree tree) {
        SortedMap<String, List<String>> digests = new TreeMap<>();
        tree.subtree(WORKSPACES).forEach((branch, own) -> {
            List<String> list = Arrays.stream(own.getOrDefault(DIGESTS, "").split(",", -1))
                    .map(String::strip)
                    .filter(digest -> !digest.isEmpty())
                    .toList();
            if (!list.isEmpty() && SettingsTree.parent(branch).equals(WORKSPACES)) {
                digests.put(branch.substring(WORKSPACES.length() + 1), list);
            }
        });
        return digests;
    }

    /**
     * Checks the digests after a change, if an edit concerns them.
     *
     * @throws WagtailcartException with {@link ResultCode#SETTING_INVALID} when two workspaces share a digest or there
     *     is no salt
     */
    static void check(SettingsTree tree, List<SettingsEdit> edits) {
        if (edits.stream()
                .noneMatch(edit -> edit.key().equals(DIGESTS) || edit.key().equals(SALT))) {
            return;
        }
        SortedMap<String, List<String>> digests = byWorkspace(tree);
        if (!digests.isEmpty() && salt(tree).isEmpty()) {
            throw new WagtailcartException(
                    ResultCode.SETTING_INVALID,
                    "branch " + WORKSPACES + ": key \"" + SALT + "\" is missing; key digests need it");
        }
        Map<String, String> owners = new HashMap<>();
        digests.forEach((workspace, list) -> list.stream().distinct().forEach(digest -> {
            String other = owners.putIfAbsent(digest, workspace);
            if (other != null) {
                throw new WagtailcartException(
                        ResultCode.SETTING_INVALID,
                        "workspaces " + other + " and " + workspace + " have the same API key");
            }
        }));
    }
}
