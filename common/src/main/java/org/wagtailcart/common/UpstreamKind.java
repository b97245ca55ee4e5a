package org.wagtailcart.common;

/** Kind of an upstream: engine or plain service. */
public enum UpstreamKind {
    /** Serves a language model. */
    ENGINE,
    /** Serves plain HTTP requests. */
    SERVICE;

    /** Parses the lower-case name used in settings. */
    public static UpstreamKind parse(String name) {
        return SettingNames.parse(values(), name, "kind");
    }
}
