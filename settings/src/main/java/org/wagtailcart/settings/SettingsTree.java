package org.wagtailcart.settings;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/** An immutable revision of the operators' tree of settings. Each branch inherits from its parent. */
public final class SettingsTree {
    /** The empty tree with revision 0. */
    public static final SettingsTree EMPTY = new SettingsTree(0, new TreeMap<>());

    private final long revision;
    private final SortedMap<String, Map<String, String>> branches;

    private SettingsTree(long revision, SortedMap<String, Map<String, String>> branches) {
        this.revision = revision;
        this.branches = branches;
    }

    /** Returns the revision. */
    public long revision() {
        return revision;
    }

    /** Returns the paths of all branches in order. */
    public List<String> branches() {
        return List.copyOf(branches.keySet());
    }

    /** Returns the keys that a branch sets itself. */
    public Map<String, String> own(String branch) {
        return branches.getOrDefault(branch, Map.of());
    }

    /** Returns the value in force for a key of a branch: its own or that of the nearest parent that sets it. */
    public Optional<String> effective(String branch, String key) {
        return lineage(branch)
                .map(path -> own(path).get(key))
                .filter(Objects::nonNull)
                .findFirst();
    }

    /** Returns a branch and its parents, nearest first. */
    public static Stream<String> lineage(String branch) {
        return Stream.iterate(branch, path -> !path.isEmpty(), SettingsTree::parent);
    }

    /** Returns the path of the parent, empty for the root. */
    public static String parent(String branch) {
        if (branch.equals("/")) {
            return "";
        }
        int slash = branch.lastIndexOf('/');
        return slash <= 0 ? "/" : branch.substring(0, slash);
    }
}
