package org.wagtailcart.settings;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.UpstreamKind;

/**
 * What the tree says of one upstream.
 *
 * @param upstreamId last part of its branch path
 * @param branch branch that sets its address
 * @param kind engine or service
 * @param address its own listener
 * @param sidecarId the one sidecar that may register for it
 * @param sidecarAddress peer address of that sidecar
 * @param host host, empty when not set
 * @param failureDomain failure domain, empty when not set
 * @param service service name of a plain service, else empty
 * @param target first configuration of an engine, null for a service
 * @param checksFencing whether the engine refuses old fencing tokens
 * @param maxInFlight requests it takes at once
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
        @Nullable EngineTarget target,
        boolean checksFencing,
        int maxInFlight) {
    /** Path below which the upstreams stand. */
    public static final String ROOT = "/upstreams";

    // Requests at once when the tree names no limit; small enough for any engine, so that an operator raises it on
    // purpose.
    private static final int DEFAULT_MAX_IN_FLIGHT = 32;

    static UpstreamSettings read(SettingsTree tree, String branch) {
        UpstreamKind kind = UpstreamKind.parse(required(tree, branch, SettingsKey.KIND));
        return new UpstreamSettings(
                branch.substring(branch.lastIndexOf('/') + 1),
                branch,
                kind,
                Address.parse(required(tree, branch, SettingsKey.ADDRESS)),
                required(tree, branch, SettingsKey.SIDECAR),
                Address.parse(required(tree, branch, SettingsKey.SIDECAR_ADDRESS)),
                optional(tree, branch, SettingsKey.HOST, ""),
                optional(tree, branch, SettingsKey.FAILURE_DOMAIN, ""),
                kind == UpstreamKind.SERVICE ? required(tree, branch, SettingsKey.SERVICE) : "",
                kind == UpstreamKind.ENGINE ? firstTarget(tree, branch) : null,
                optional(tree, branch, SettingsKey.FENCING, "checked").equals("checked"),
                Integer.parseInt(
                        optional(tree, branch, SettingsKey.MAX_IN_FLIGHT, String.valueOf(DEFAULT_MAX_IN_FLIGHT))));
    }

    private static EngineTarget firstTarget(SettingsTree tree, String branch) {
        return new EngineTarget(
                EngineRole.parse(optional(tree, branch, SettingsKey.ROLE, "mixed")),
                required(tree, branch, SettingsKey.MODEL),
                optional(tree, branch, SettingsKey.ADAPTER, ""),
                optional(tree, branch, SettingsKey.VERSION, ""));
    }

    private static String optional(SettingsTree tree, String branch, SettingsKey key, String fallback) {
        return tree.effective(branch, key.settingName()).orElse(fallback);
    }

    private static String required(SettingsTree tree, String branch, SettingsKey key) {
        return tree.effective(branch, key.settingName())
                .orElseThrow(() -> SettingsKey.invalid(
                        branch, key.settingName(), "", key.accepts() + "; an upstream must set or inherit this key"));
    }
}
