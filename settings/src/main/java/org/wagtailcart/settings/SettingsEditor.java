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

/** Applies the edits of one change to a tree and checks the result. */
final class SettingsEditor {
    private static final Pattern PATH = Pattern.compile("/|(/[A-Za-z0-9._-]{1,64}){1,8}");

    private final SettingsTree before;
    private final Set<String> touched = new LinkedHashSet<>();
    private TreePMap<String, Map<String, String>> branches;
    // Consecutive edits of one branch are collected here, so that a whole tree costs one insertion for each branch.
    private String pendingBranch = "";
    private Map<String, String> pendingOwn = new TreeMap<>();

    SettingsEditor(SettingsTree before) {
        this.before = before;
        this.branches = before.branchMap();
    }

    SettingsEditor applyAll(List<SettingsEdit> edits) {
        edits.forEach(this::apply);
        return this;
    }

    SettingsTree finish(long revision) {
        flush();
        SettingsTree tree = new SettingsTree(revision, branches, before.upstreams());
        PSortedMap<String, UpstreamSettings> upstreams = upstreamsOf(tree);
        return new SettingsTree(revision, branches, upstreams);
    }

    private void apply(SettingsEdit edit) {
        if (!edit.branch().equals(pendingBranch) || edit.kind() != SettingsEdit.Kind.SET) {
            checkPath(edit.branch());
            flush();
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
            flush();
            branches = branches.plus(edit.branch(), own(edit.branch()));
            return;
        }
        SettingsKey.check(edit.branch(), edit.key(), edit.value());
        if (pendingBranch.isEmpty()) {
            pendingBranch = edit.branch();
            pendingOwn = new TreeMap<>(own(edit.branch()));
        }
        pendingOwn.put(edit.key(), edit.value());
    }

    private void flush() {
        if (!pendingBranch.isEmpty()) {
            put(pendingBranch, pendingOwn);
            pendingBranch = "";
        }
    }

    private void unset(SettingsEdit edit) {
        if (SettingsKey.find(edit.key()).isEmpty()) {
            SettingsKey.check(edit.branch(), edit.key(), "");
        }
        Map<String, String> changed = new TreeMap<>(own(edit.branch()));
        if (changed.remove(edit.key()) == null) {
            throw new WagtailcartException(
                    ResultCode.NOT_FOUND,
                    "branch " + edit.branch() + " does not set the key \"" + edit.key() + "\" itself");
        }
        put(edit.branch(), changed);
    }

    private void remove(String branch) {
        Set<String> paths = Set.copyOf(existing(branch).keySet());
        branches = branches.minusAll(paths);
        touched.add(branch);
    }

    private void move(String branch, String newParent) {
        checkPath(newParent);
        if (newParent.equals(branch) || newParent.startsWith(branch + "/") || branch.equals("/")) {
            throw new WagtailcartException(
                    ResultCode.BRANCH_CYCLE, "branch " + branch + " cannot move below itself, to " + newParent);
        }
        SortedMap<String, Map<String, String>> moved = new TreeMap<>(existing(branch));
        String name = branch.substring(branch.lastIndexOf('/'));
        String target = newParent.equals("/") ? name : newParent + name;
        if (current().exists(target)) {
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
        touched.add(branch);
        touched.add(target);
    }

    private SortedMap<String, Map<String, String>> existing(String branch) {
        SortedMap<String, Map<String, String>> subtree = current().subtree(branch);
        if (subtree.isEmpty()) {
            throw new WagtailcartException(ResultCode.NOT_FOUND, "branch " + branch + " does not exist");
        }
        return subtree;
    }

    private SettingsTree current() {
        return new SettingsTree(before.revision(), branches, before.upstreams());
    }

    private Map<String, String> own(String branch) {
        return branches.getOrDefault(branch, Map.of());
    }

    private void put(String branch, Map<String, String> own) {
        branches = branches.plus(branch, Map.copyOf(own));
        touched.add(branch);
    }

    private static void checkPath(String branch) {
        if (!PATH.matcher(branch).matches()) {
            throw new WagtailcartException(
                    ResultCode.SETTING_INVALID,
                    "branch \"" + branch + "\" is not a path; accepted is / or up to 8 parts such as"
                            + " /upstreams/assistant, each of 1 to 64 letters, digits, '.', '_' or '-'");
        }
    }

    private PSortedMap<String, UpstreamSettings> upstreamsOf(SettingsTree tree) {
        List<String> roots = affectedRoots();
        if (roots.isEmpty()) {
            return before.upstreams();
        }
        PSortedMap<String, UpstreamSettings> upstreams = before.upstreams();
        for (String root : roots) {
            List<String> gone = before.subtree(root).keySet().stream()
                    .map(SettingsEditor::lastSegment)
                    .filter(id -> isAt(before.upstreams().get(id), root))
                    .toList();
            upstreams = upstreams.minusAll(gone);
        }
        List<UpstreamSettings> found = new ArrayList<>();
        roots.forEach(root -> tree.subtree(root).forEach((path, own) -> {
            if (path.startsWith(UpstreamSettings.ROOT + "/") && own.containsKey(SettingsKey.ADDRESS.settingName())) {
                found.add(UpstreamSettings.read(tree, path));
            }
        }));
        for (UpstreamSettings upstream : found) {
            UpstreamSettings other = upstreams.get(upstream.upstreamId());
            if (other != null && !other.branch().equals(upstream.branch())) {
                throw new WagtailcartException(
                        ResultCode.SETTING_INVALID,
                        "branch " + upstream.branch() + ": upstream id \"" + upstream.upstreamId()
                                + "\" is taken by branch " + other.branch());
            }
            upstreams = upstreams.plus(upstream.upstreamId(), upstream);
        }
        checkConflicts(upstreams);
        return upstreams;
    }

    private static boolean isAt(@Nullable UpstreamSettings upstream, String root) {
        return upstream != null
                && (root.equals("/")
                        || upstream.branch().equals(root)
                        || upstream.branch().startsWith(root + "/"));
    }

    /** Returns the touched branches that can hold upstreams, without those that lie below another one. */
    private List<String> affectedRoots() {
        List<String> roots = touched.stream()
                .filter(path -> path.equals("/")
                        || path.equals(UpstreamSettings.ROOT)
                        || path.startsWith(UpstreamSettings.ROOT + "/"))
                .sorted()
                .toList();
        Set<String> all = Set.copyOf(roots);
        return roots.stream()
                .filter(path -> SettingsTree.lineage(SettingsTree.parent(path)).noneMatch(all::contains))
                .toList();
    }

    /** Two upstreams at one address would receive each other's orders; a sidecar with two addresses has no mutex. */
    private static void checkConflicts(PSortedMap<String, UpstreamSettings> upstreams) {
        Map<Address, UpstreamSettings> byAddress = new HashMap<>();
        Map<String, Address> sidecars = new HashMap<>();
        Map<Address, String> sidecarIds = new HashMap<>();
        upstreams.values().forEach(upstream -> {
            UpstreamSettings other = byAddress.putIfAbsent(upstream.address(), upstream);
            if (other != null) {
                throw conflict(
                        upstream,
                        SettingsKey.ADDRESS,
                        upstream.address(),
                        "an address that no other upstream" + " has; branch " + other.branch() + " has this one");
            }
            Address address = sidecars.putIfAbsent(upstream.sidecarId(), upstream.sidecarAddress());
            if (address != null && !address.equals(upstream.sidecarAddress())) {
                throw conflict(
                        upstream,
                        SettingsKey.SIDECAR_ADDRESS,
                        upstream.sidecarAddress(),
                        "the address " + address + " that other upstreams of sidecar " + upstream.sidecarId()
                                + " name");
            }
            String id = sidecarIds.putIfAbsent(upstream.sidecarAddress(), upstream.sidecarId());
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
