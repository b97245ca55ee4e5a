package org.wagtailcart.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.wagtailcart.common.ResultCode;

/** Reference model of the settings tree that copies the full tree for each change, without an incremental index. */
final class SettingsReferenceModel {
    private static final Set<String> INACTIVE = Set.of("e2");

    final Map<String, ApplySettingsResult> firstResults = new HashMap<>();
    final List<ApplySettings> sent = new ArrayList<>();
    Map<String, Map<String, String>> branches = new TreeMap<>();
    long revision;

    /** Returns the expected result code of a change and applies the change when the code is OK. */
    ResultCode apply(ApplySettings command) {
        if (command.expectedRevision() != revision) {
            return ResultCode.REVISION_CONFLICT;
        }
        Map<String, Map<String, String>> next = new TreeMap<>();
        branches.forEach((path, own) -> next.put(path, new TreeMap<>(own)));
        for (SettingsEdit edit : command.edits()) {
            ResultCode code = edit(next, edit);
            if (code != ResultCode.OK) {
                return code;
            }
        }
        if (!hasValidUpstreams(next)) {
            return ResultCode.SETTING_INVALID;
        }
        if (!models(next).containsAll(models(branches))) {
            return ResultCode.MODEL_WITHOUT_ENGINE;
        }
        branches = next;
        revision++;
        return ResultCode.OK;
    }

    private static ResultCode edit(Map<String, Map<String, String>> tree, SettingsEdit edit) {
        String branch = edit.branch();
        return switch (edit.kind()) {
            case SET -> set(tree, branch, edit.key(), edit.value());
            case UNSET ->
                tree.getOrDefault(branch, new TreeMap<>()).remove(edit.key()) == null
                        ? ResultCode.NOT_FOUND
                        : ResultCode.OK;
            case REMOVE_BRANCH ->
                tree.keySet().removeIf(path -> isAtOrBelow(path, branch)) ? ResultCode.OK : ResultCode.NOT_FOUND;
            case MOVE_BRANCH -> move(tree, branch, edit.value());
        };
    }

    private static ResultCode set(Map<String, Map<String, String>> tree, String branch, String key, String value) {
        if (key.equals("no-such-key")) {
            return ResultCode.SETTING_UNKNOWN;
        }
        if (value.equals("bad\tvalue")) {
            return ResultCode.SETTING_INVALID;
        }
        Map<String, String> own = tree.computeIfAbsent(branch, path -> new TreeMap<>());
        if (!key.isEmpty()) {
            own.put(key, value);
        }
        return ResultCode.OK;
    }

    private static ResultCode move(Map<String, Map<String, String>> tree, String branch, String parent) {
        if (isAtOrBelow(parent, branch)) {
            return ResultCode.BRANCH_CYCLE;
        }
        if (tree.keySet().stream().noneMatch(path -> isAtOrBelow(path, branch))) {
            return ResultCode.NOT_FOUND;
        }
        String target = (parent.equals("/") ? "" : parent) + branch.substring(branch.lastIndexOf('/'));
        if (tree.keySet().stream().anyMatch(path -> isAtOrBelow(path, target))) {
            return ResultCode.SETTING_INVALID;
        }
        for (String path : List.copyOf(tree.keySet())) {
            if (isAtOrBelow(path, branch)) {
                tree.put(target + path.substring(branch.length()), tree.remove(path));
            }
        }
        return ResultCode.OK;
    }

    private static boolean isAtOrBelow(String path, String branch) {
        return branch.equals("/") || path.equals(branch) || path.startsWith(branch + "/");
    }

    private static boolean hasValidUpstreams(Map<String, Map<String, String>> tree) {
        Set<String> ids = new HashSet<>();
        Set<String> addresses = new HashSet<>();
        Map<String, String> sidecars = new HashMap<>();
        for (String path : upstreams(tree)) {
            for (String key : List.of("kind", "sidecar", "sidecar-address", "model")) {
                if (effectiveValue(tree, path, key).isEmpty()) {
                    return false;
                }
            }
            String sidecar = effectiveValue(tree, path, "sidecar").orElseThrow();
            String address = effectiveValue(tree, path, "sidecar-address").orElseThrow();
            if (!ids.add(upstreamId(path))
                    || !addresses.add(effectiveValue(tree, path, "address").orElseThrow())
                    || !address.equals(sidecars.getOrDefault(sidecar, address))
                    || !sidecar.equals(sidecars.getOrDefault(address, sidecar))) {
                return false;
            }
            sidecars.put(sidecar, address);
            sidecars.put(address, sidecar);
        }
        return true;
    }

    static List<String> upstreams(Map<String, Map<String, String>> tree) {
        return tree.keySet().stream()
                .filter(path -> path.startsWith("/upstreams/") && tree.get(path).containsKey("address"))
                .toList();
    }

    private static Set<String> models(Map<String, Map<String, String>> tree) {
        Set<String> models = new TreeSet<>();
        upstreams(tree).stream()
                .filter(path -> !INACTIVE.contains(upstreamId(path)))
                .forEach(path -> models.add(effectiveValue(tree, path, "model").orElseThrow()));
        return models;
    }

    private static Optional<String> effectiveValue(Map<String, Map<String, String>> tree, String path, String key) {
        for (String branch = path;
                !branch.isEmpty();
                branch = branch.equals("/") ? "" : branch.substring(0, Math.max(1, branch.lastIndexOf('/')))) {
            String own = tree.getOrDefault(branch, new TreeMap<>()).get(key);
            if (own != null) {
                return Optional.of(own);
            }
            if (branch.equals("/")) {
                return Optional.empty();
            }
        }
        return Optional.empty();
    }

    static String upstreamId(String path) {
        return path.substring(path.lastIndexOf('/') + 1);
    }

    static EngineStatusSource engineStatus() {
        return new EngineStatusSource() {
            @Override
            public boolean isInactive(String upstreamId) {
                return INACTIVE.contains(upstreamId);
            }

            @Override
            public Optional<String> orderedModel(String upstreamId) {
                return Optional.empty();
            }

            @Override
            public boolean hasOrderInProgress(String upstreamId) {
                return false;
            }
        };
    }
}
