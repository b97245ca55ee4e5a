package org.wagtailcart.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Builds the next revision of a settings tree from the edits of one change and validates it. */
final class SettingsEditor {
    private static final Pattern PATH = Pattern.compile("/|(/[A-Za-z0-9._-]{1,64}){1,8}");

    private final SettingsTree base;
    private final Set<String> changedPaths = new LinkedHashSet<>();
    private TreePMap<String, Map<String, String>> branches;
    // Collects consecutive edits of one branch, so that importing a full tree costs one insertion for each branch.
    private String pendingBranch = "";
    private Map<String, String> pendingValues = new TreeMap<>();

    SettingsEditor(SettingsTree base) {
        this.base = base;
        this.branches = base.valuesByBranch();
    }

    SettingsEditor applyAll(List<SettingsEdit> edits) {
        edits.forEach(this::apply);
        return this;
    }

    SettingsTree build(long revision) {
        flushPending();
        SettingsTree tree = new SettingsTree(revision, branches, base.upstreams());
        PSortedMap<String, UpstreamSettings> upstreams = updateUpstreams(tree);
        return new SettingsTree(revision, branches, upstreams);
    }

    private void apply(SettingsEdit edit) {
        if (!edit.branch().equals(pendingBranch) || edit.kind() != SettingsEdit.Kind.SET) {
            checkPath(edit.branch());
            flushPending();
        }
        switch (edit.kind()) {
            case SET -> set(edit);
            case UNSET -> unset(edit);
            case REMOVE_BRANCH -> remove(edit.branch());
            case MOVE_BRANCH -> move(edit.branch(), edit.value());
        }
    }

    private void set(SettingsEdit edit) {
        if (edit.key().isEmpty()) {
            flushPending();
            branches = branches.plus(edit.branch(), ownValues(edit.branch()));
            return;
        }
        SettingsKey.validate(edit.branch(), edit.key(), edit.value());
        if (pendingBranch.isEmpty()) {
            pendingBranch = edit.branch();
            pendingValues = new TreeMap<>(ownValues(edit.branch()));
        }
        pendingValues.put(edit.key(), edit.value());
    }

    private void flushPending() {
        if (!pendingBranch.isEmpty()) {
            putBranch(pendingBranch, pendingValues);
            pendingBranch = "";
        }
    }

    private void unset(SettingsEdit edit) {
        if (SettingsKey.find(edit.key()).isEmpty()) {
            SettingsKey.validate(edit.branch(), edit.key(), "");
        }
        Map<String, String> changed = new TreeMap<>(ownValues(edit.branch()));
        if (changed.remove(edit.key()) == null) {
            throw new WagtailcartException(
                    ResultCode.NOT_FOUND,
                    "branch " + edit.branch() + " does not set the key \"" + edit.key() + "\" itself");
        }
        putBranch(edit.branch(), changed);
    }

    private void remove(String branch) {
        Set<String> paths = Set.copyOf(requireSubtree(branch).keySet());
        branches = branches.minusAll(paths);
        changedPaths.add(branch);
    }

    private void move(String branch, String newParent) {
        checkPath(newParent);
        if (newParent.equals(branch) || newParent.startsWith(branch + "/") || branch.equals("/")) {
            throw new WagtailcartException(
                    ResultCode.BRANCH_CYCLE, "branch " + branch + " cannot move below itself, to " + newParent);
        }
        SortedMap<String, Map<String, String>> moved = new TreeMap<>(requireSubtree(branch));
        String name = branch.substring(branch.lastIndexOf('/'));
        String target = newParent.equals("/") ? name : newParent + name;
        if (currentTree().exists(target)) {
            throw new WagtailcartException(
                    ResultCode.SETTING_INVALID,
                    "branch " + branch + " cannot move to " + newParent + ": branch " + target + " exists");
        }
        branches = branches.minusAll(moved.keySet());
        moved.forEach((path, own) -> {
            String newPath = target + path.substring(branch.length());
            checkPath(newPath);
            branches = branches.plus(newPath, own);
        });
        changedPaths.add(branch);
        changedPaths.add(target);
    }

    private SortedMap<String, Map<String, String>> requireSubtree(String branch) {
        SortedMap<String, Map<String, String>> subtree = currentTree().subtree(branch);
        if (subtree.isEmpty()) {
            throw new WagtailcartException(ResultCode.NOT_FOUND, "branch " + branch + " does not exist");
        }
        return subtree;
    }

    private SettingsTree currentTree() {
        return new SettingsTree(base.revision(), branches, base.upstreams());
    }

    private Map<String, String> ownValues(String branch) {
        return branches.getOrDefault(branch, Map.of());
    }

    private void putBranch(String branch, Map<String, String> own) {
        branches = branches.plus(branch, Map.copyOf(own));
        changedPaths.add(branch);
    }

    private static void checkPath(String branch) {
        if (!PATH.matcher(branch).matches()) {
            throw new WagtailcartException(
                    ResultCode.SETTING_INVALID,
                    "branch \"" + branch + "\" is not a path; accepted is / or up to 8 parts such as"
                            + " /upstreams/assistant, each of 1 to 64 letters, digits, '.', '_' or '-'");
        }
    }

    private PSortedMap<String, UpstreamSettings> updateUpstreams(SettingsTree tree) {
        List<String> roots = affectedRoots();
        if (roots.isEmpty()) {
            return base.upstreams();
        }
        PSortedMap<String, UpstreamSettings> upstreams = base.upstreams();
        for (String root : roots) {
            List<String> staleIds = base.subtree(root).keySet().stream()
                    .map(SettingsEditor::lastSegment)
                    .filter(id -> isAtOrBelow(base.upstreams().get(id), root))
                    .toList();
            upstreams = upstreams.minusAll(staleIds);
        }
        List<UpstreamSettings> changed = new ArrayList<>();
        roots.forEach(root -> tree.subtree(root).forEach((path, own) -> {
            if (path.startsWith(UpstreamSettings.ROOT_PATH + "/")
                    && own.containsKey(SettingsKey.ADDRESS.settingName())) {
                changed.add(UpstreamSettings.fromTree(tree, path));
            }
        }));
        for (UpstreamSettings upstream : changed) {
            UpstreamSettings other = upstreams.get(upstream.upstreamId());
            if (other != null && !other.branch().equals(upstream.branch())) {
                throw new WagtailcartException(
                        ResultCode.SETTING_INVALID,
                        "branch " + upstream.branch() + ": upstream id \"" + upstream.upstreamId()
                                + "\" is taken by branch " + other.branch());
            }
            upstreams = upstreams.plus(upstream.upstreamId(), upstream);
        }
        checkAddressConflicts(upstreams);
        return upstreams;
    }

    private static boolean isAtOrBelow(@Nullable UpstreamSettings upstream, String root) {
        return upstream != null
                && (root.equals("/")
                        || upstream.branch().equals(root)
                        || upstream.branch().startsWith(root + "/"));
    }

    /** Returns the changed branches that can contain upstreams, without those below another changed branch. */
    private List<String> affectedRoots() {
        List<String> roots = changedPaths.stream()
                .filter(path -> path.equals("/")
                        || path.equals(UpstreamSettings.ROOT_PATH)
                        || path.startsWith(UpstreamSettings.ROOT_PATH + "/"))
                .sorted()
                .toList();
        Set<String> all = Set.copyOf(roots);
        return roots.stream()
                .filter(path ->
                        SettingsTree.selfAndAncestors(SettingsTree.parent(path)).noneMatch(all::contains))
                .toList();
    }

    /**
     * Rejects two upstreams at one address, which would receive each other's orders, and sidecars with two addresses or
     * a shared one, as a sidecar id with two addresses gives no mutual exclusion.
     */
    private static void checkAddressConflicts(PSortedMap<String, UpstreamSettings> upstreams) {
        Map<Address, UpstreamSettings> upstreamsByAddress = new HashMap<>();
        Map<String, Address> addressesBySidecar = new HashMap<>();
        Map<Address, String> sidecarsByAddress = new HashMap<>();
        upstreams.values().forEach(upstream -> {
            UpstreamSettings other = upstreamsByAddress.putIfAbsent(upstream.address(), upstream);
            if (other != null) {
                throw conflict(
                        upstream,
                        SettingsKey.ADDRESS,
                        upstream.address(),
                        "an address that no other upstream" + " has; branch " + other.branch() + " has this one");
            }
            Address address = addressesBySidecar.putIfAbsent(upstream.sidecarId(), upstream.sidecarAddress());
            if (address != null && !address.equals(upstream.sidecarAddress())) {
                throw conflict(
                        upstream,
                        SettingsKey.SIDECAR_ADDRESS,
                        upstream.sidecarAddress(),
                        "the address " + address + " that other upstreams of sidecar " + upstream.sidecarId()
                                + " name");
            }
            String id = sidecarsByAddress.putIfAbsent(upstream.sidecarAddress(), upstream.sidecarId());
            if (id != null && !id.equals(upstream.sidecarId())) {
                throw conflict(
                        upstream,
                        SettingsKey.SIDECAR_ADDRESS,
                        upstream.sidecarAddress(),
                        "an address that no" + " other sidecar has; sidecar " + id + " has this one");
            }
        });
    }

    private static WagtailcartException conflict(
            UpstreamSettings upstream, SettingsKey key, Object value, String accepted) {
        return SettingsKey.invalid(upstream.branch(), key.settingName(), value.toString(), accepted);
    }

    private static String lastSegment(String path) {
        return path.substring(path.lastIndexOf('/') + 1);
    }
}
