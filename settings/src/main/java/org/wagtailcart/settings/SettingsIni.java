package org.wagtailcart.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Import and export of the settings tree as an INI file with one section for each branch. */
public final class SettingsIni {
    private SettingsIni() {}

    /** Returns the branches at and below a path as INI. */
    public static String export(SettingsTree tree, String branch) {
        return tree.subtree(branch).entrySet().stream()
                .map(entry -> IniText.format(entry.getKey(), new TreeMap<>(entry.getValue())))
                .collect(Collectors.joining());
    }

    /**
     * Returns the edits that apply an INI file to a tree.
     *
     * @param replace whether keys and branches that the file does not name are removed
     * @throws WagtailcartException with {@link ResultCode#INVALID_SETTINGS_FILE} when the text is not valid INI or a
     *     section is not a branch
     */
    public static List<SettingsEdit> toEdits(SettingsTree tree, String text, boolean replace) {
        Map<String, Map<String, String>> sections = IniText.parse(text);
        sections.keySet().stream()
                .filter(name -> !name.startsWith("/"))
                .findFirst()
                .ifPresent(name -> {
                    throw new WagtailcartException(
                            ResultCode.INVALID_SETTINGS_FILE,
                            "section [" + name + "] is not a branch; expected a path such as [/upstreams/assistant]");
                });
        List<SettingsEdit> edits = new ArrayList<>();
        if (replace) {
            edits.addAll(removals(tree, sections));
        }
        sections.forEach((branch, values) -> edits.addAll(additionsAndUpdates(tree, branch, values)));
        return edits;
    }

    private static List<SettingsEdit> additionsAndUpdates(
            SettingsTree tree, String branch, Map<String, String> values) {
        if (values.isEmpty()) {
            return tree.valuesByBranch().containsKey(branch) ? List.of() : List.of(SettingsEdit.create(branch));
        }
        Map<String, String> own = tree.ownValues(branch);
        return values.entrySet().stream()
                .filter(entry -> !Objects.equals(own.get(entry.getKey()), entry.getValue()))
                .map(entry -> SettingsEdit.set(branch, entry.getKey(), entry.getValue()))
                .toList();
    }

    private static List<SettingsEdit> removals(SettingsTree tree, Map<String, Map<String, String>> sections) {
        List<SettingsEdit> edits = new ArrayList<>();
        Set<String> keptPaths = sections.keySet().stream()
                .flatMap(SettingsTree::selfAndAncestors)
                .collect(Collectors.toSet());
        String lastRemoved = "";
        for (Map.Entry<String, Map<String, String>> entry :
                tree.valuesByBranch().entrySet()) {
            String branch = entry.getKey();
            if (!lastRemoved.isEmpty() && branch.startsWith(lastRemoved + "/")) {
                continue;
            }
            if (!keptPaths.contains(branch)) {
                edits.add(SettingsEdit.remove(branch));
                lastRemoved = branch;
                continue;
            }
            Map<String, String> values = sections.getOrDefault(branch, Map.of());
            entry.getValue().keySet().stream()
                    .filter(key -> !values.containsKey(key))
                    .sorted()
                    .forEach(key -> edits.add(SettingsEdit.unset(branch, key)));
        }
        return edits;
    }
}
