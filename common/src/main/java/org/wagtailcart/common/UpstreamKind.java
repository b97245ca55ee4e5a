package org.wagtailcart.common;

/** What an upstream serves. */
public enum UpstreamKind {
    /** Serves a language model. */
    ENGINE,
    /** A plain service. */
    SERVICE;

    /** Parses the lower-case name used in settings. */
    public static UpstreamKind parse(String name) {
        return SettingNames.parse(values(), name, "kind");
    }
}
