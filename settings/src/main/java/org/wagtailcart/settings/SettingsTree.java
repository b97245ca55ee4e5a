package org.wagtailcart.settings;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.stream.Stream;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * Immutable revision of the operators' settings tree, in which each branch inherits the values of its parent. Revisions
 * share unchanged branches, so the cost of a change depends on the branches it edits and not on the size of the tree.
 */
public final class SettingsTree {
    /** The empty tree with revision 0. */
    public static final SettingsTree EMPTY = new SettingsTree(0, TreePMap.empty(), TreePMap.empty());

    private final long revision;
    private final TreePMap<String, Map<String, String>> branches;
    private final PSortedMap<String, UpstreamSettings> upstreams;

    SettingsTree(
            long revision,
            TreePMap<String, Map<String, String>> branches,
            PSortedMap<String, UpstreamSettings> upstreams) {
        this.revision = revision;
        this.branches = branches;
        this.upstreams = upstreams;
    }

    /** Returns the revision number. */
    public long revision() {
        return revision;
    }

    /** Returns the paths of all branches in order. */
    public List<String> branches() {
        return List.copyOf(branches.keySet());
    }

    /** Returns whether a branch or one below it exists. */
    public boolean exists(String branch) {
        return branches.containsKey(branch) || !subtree(branch).isEmpty();
    }

    /** Returns the branches at and below a path, in order, each with the keys it sets itself. */
    public SortedMap<String, Map<String, String>> subtree(String branch) {
        if (branch.equals("/")) {
            return branches;
        }
        // '0' is the character after '/', so the range contains exactly the paths that start with branch + "/".
        PSortedMap<String, Map<String, String>> below = branches.subMap(branch + "/", branch + "0");
        Map<String, String> own = branches.get(branch);
        return own == null ? below : below.plus(branch, own);
    }

    /** Returns the keys that a branch sets itself. */
    public Map<String, String> ownValues(String branch) {
        return branches.getOrDefault(branch, Map.of());
    }

    /** Returns the effective value of a key of a branch: its own or that of the nearest ancestor that sets it. */
    public Optional<String> effectiveValue(String branch, String key) {
        return selfAndAncestors(branch)
                .map(path -> ownValues(path).get(key))
                .filter(Objects::nonNull)
                .findFirst();
    }

    /** Returns the branch that sets the effective value of a key of a branch. */
    public Optional<String> originBranch(String branch, String key) {
        return selfAndAncestors(branch)
                .filter(path -> ownValues(path).containsKey(key))
                .findFirst();
    }

    /** Returns the upstreams by id, in order. */
    public PSortedMap<String, UpstreamSettings> upstreams() {
        return upstreams;
    }

    /**
     * Returns this tree with edits applied, without the checks against the fleet. Copies of the tree in other processes
     * use it for changes that the control group accepted.
     *
     * @throws org.wagtailcart.common.WagtailcartException when an edit does not fit this tree
     */
    public SettingsTree withEdits(long newRevision, List<SettingsEdit> edits) {
        return new SettingsEditor(this).applyAll(edits).build(newRevision);
    }

    /** Returns the edits that build this tree from the empty one. */
    public List<SettingsEdit> toEdits() {
        return branches.entrySet().stream()
                .flatMap(entry -> editsOf(entry.getKey(), entry.getValue()))
                .toList();
    }

    /** Returns a branch and its ancestors, nearest first. */
    public static Stream<String> selfAndAncestors(String branch) {
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

    TreePMap<String, Map<String, String>> valuesByBranch() {
        return branches;
    }

    /** Returns whether both trees have the same branches and values, regardless of their revisions. */
    public boolean hasSameContent(SettingsTree other) {
        return branches.equals(other.branches);
    }

    private static Stream<SettingsEdit> editsOf(String branch, Map<String, String> own) {
        if (own.isEmpty()) {
            return Stream.of(SettingsEdit.create(branch));
        }
        return own.entrySet().stream().map(entry -> SettingsEdit.set(branch, entry.getKey(), entry.getValue()));
    }
}
