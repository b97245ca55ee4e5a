package org.wagtailcart.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.pcollections.TreePMap;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Immutable history of the settings tree: the tree in force and the retained changes that led to it.
 *
 * @param base tree before the oldest retained change
 * @param current tree in force
 * @param changes retained changes by revision
 */
public record SettingsHistory(SettingsTree base, SettingsTree current, TreePMap<Long, SettingsChange> changes) {
    static final SettingsHistory EMPTY = new SettingsHistory(SettingsTree.EMPTY, SettingsTree.EMPTY, TreePMap.empty());

    /** Returns the edits after a revision, empty when it is no longer retained or newer than the current one. */
    public Optional<List<SettingsEdit>> editsSince(long revision) {
        if (revision < base.revision() || revision > current.revision()) {
            return Optional.empty();
        }
        return Optional.of(changes.tailMap(revision, false).values().stream()
                .flatMap(change -> change.edits().stream())
                .toList());
    }

    /** Returns the latest changes, newest first. */
    public List<SettingsChange> latestChanges(int limit) {
        return changes.descendingMap().values().stream().limit(limit).toList();
    }

    /**
     * Returns the tree of a retained revision.
     *
     * @throws WagtailcartException with {@link ResultCode#NOT_FOUND} when the revision is not retained
     */
    public SettingsTree treeAt(long revision) {
        if (revision < base.revision() || revision > current.revision()) {
            throw new WagtailcartException(
                    ResultCode.NOT_FOUND,
                    "revision " + revision + " is not retained; expected " + base.revision() + " to "
                            + current.revision());
        }
        SettingsTree tree = base;
        for (SettingsChange change : changes.headMap(revision, true).values()) {
            tree = tree.withEdits(change.revision(), change.edits());
        }
        return tree;
    }

    /** Returns the differences of own values between two retained revisions, in order of branch and key. */
    public List<ValueChange> compare(long from, long to) {
        return compare(treeAt(from), treeAt(to));
    }

    /** Returns the differences of own values between two trees. A branch without keys is reported with an empty key. */
    public static List<ValueChange> compare(SettingsTree from, SettingsTree to) {
        TreeSet<String> paths = new TreeSet<>(from.valuesByBranch().keySet());
        paths.addAll(to.valuesByBranch().keySet());
        return paths.stream()
                .flatMap(path -> compareBranch(path, withBranchMarker(from, path), withBranchMarker(to, path)))
                .toList();
    }

    SettingsHistory plus(SettingsChange change, SettingsTree tree, int maxRetained) {
        TreePMap<Long, SettingsChange> extended = changes.plus(change.revision(), change);
        if (extended.size() <= maxRetained) {
            return new SettingsHistory(base, tree, extended);
        }
        SettingsChange oldest = extended.firstEntry().getValue();
        return new SettingsHistory(
                base.withEdits(oldest.revision(), oldest.edits()), tree, extended.minus(oldest.revision()));
    }

    private static Map<String, String> withBranchMarker(SettingsTree tree, String path) {
        Map<String, String> own = tree.valuesByBranch().get(path);
        if (own == null) {
            return Map.of();
        }
        Map<String, String> marked = new TreeMap<>(own);
        marked.put("", "");
        return marked;
    }

    private static Stream<ValueChange> compareBranch(
            String path, Map<String, String> before, Map<String, String> after) {
        TreeSet<String> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        List<ValueChange> differences = new ArrayList<>();
        keys.stream()
                .filter(key -> !Objects.equals(before.get(key), after.get(key)))
                .forEach(key -> differences.add(new ValueChange(path, key, before.get(key), after.get(key))));
        boolean valuesDiffer =
                differences.stream().anyMatch(difference -> !difference.key().isEmpty());
        return differences.stream()
                .filter(difference -> !valuesDiffer || !difference.key().isEmpty());
    }
}
