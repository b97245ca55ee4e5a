package org.wagtailcart.settings;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.UpstreamKind;

/**
 * Effective settings of one upstream, resolved from the tree.
 *
 * @param upstreamId last segment of its branch path
 * @param branch branch that sets its address
 * @param kind engine or service
 * @param address address of its listener
 * @param sidecarId id of the only sidecar that may register for it
 * @param sidecarAddress peer address of that sidecar
 * @param host host it runs on, empty when not set
 * @param failureDomain failure domain it runs in, empty when not set
 * @param service service name of a plain service, else empty
 * @param initialTarget configuration of an engine before its first order, null for a service
 * @param checksFencing whether the engine rejects old fencing tokens
 * @param maxInFlight limit of its in-flight requests
 */
public record UpstreamSettings(
        String upstreamId,
        String branch,
        UpstreamKind kind,
        Address address,
        String sidecarId,
        Address sidecarAddress,
        String host,
        String failureDomain,
        String service,
        @Nullable EngineTarget initialTarget,
        boolean checksFencing,
        int maxInFlight) {
    /** Branch that contains all upstreams. */
    public static final String ROOT_PATH = "/upstreams";

    // Limit when the tree sets none; low enough for any engine, so that an operator raises it deliberately.
    private static final int DEFAULT_MAX_IN_FLIGHT = 32;

    static UpstreamSettings fromTree(SettingsTree tree, String branch) {
        UpstreamKind kind = UpstreamKind.parse(requiredValue(tree, branch, SettingsKey.KIND));
        return new UpstreamSettings(
                branch.substring(branch.lastIndexOf('/') + 1),
                branch,
                kind,
                Address.parse(requiredValue(tree, branch, SettingsKey.ADDRESS)),
                requiredValue(tree, branch, SettingsKey.SIDECAR),
                Address.parse(requiredValue(tree, branch, SettingsKey.SIDECAR_ADDRESS)),
                effectiveOrDefault(tree, branch, SettingsKey.HOST, ""),
                effectiveOrDefault(tree, branch, SettingsKey.FAILURE_DOMAIN, ""),
                kind == UpstreamKind.SERVICE ? requiredValue(tree, branch, SettingsKey.SERVICE) : "",
                kind == UpstreamKind.ENGINE ? readInitialTarget(tree, branch) : null,
                effectiveOrDefault(tree, branch, SettingsKey.FENCING, "checked").equals("checked"),
                Integer.parseInt(effectiveOrDefault(
                        tree, branch, SettingsKey.MAX_IN_FLIGHT, String.valueOf(DEFAULT_MAX_IN_FLIGHT))));
    }

    private static EngineTarget readInitialTarget(SettingsTree tree, String branch) {
        return new EngineTarget(
                EngineRole.parse(effectiveOrDefault(tree, branch, SettingsKey.ROLE, "mixed")),
                requiredValue(tree, branch, SettingsKey.MODEL),
                effectiveOrDefault(tree, branch, SettingsKey.ADAPTER, ""),
                effectiveOrDefault(tree, branch, SettingsKey.VERSION, ""));
    }

    private static String effectiveOrDefault(SettingsTree tree, String branch, SettingsKey key, String defaultValue) {
        return tree.effectiveValue(branch, key.settingName()).orElse(defaultValue);
    }

    private static String requiredValue(SettingsTree tree, String branch, SettingsKey key) {
        return tree.effectiveValue(branch, key.settingName())
                .orElseThrow(() -> SettingsKey.invalid(
                        branch, key.settingName(), "", key.accepts() + "; an upstream must set or inherit this key"));
    }
}
