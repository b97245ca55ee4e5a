package org.wagtailcart.common;

/** Part of the work that an engine takes. */
public enum EngineRole {
    /** Processes prompts and hands the KV cache to a decode engine. */
    PREFILL(true, false),
    /** Generates output from an imported KV cache. */
    DECODE(false, true),
    /** Does both. */
    MIXED(true, true);

    private final boolean supportsPrefill;
    private final boolean supportsDecode;

    EngineRole(boolean supportsPrefill, boolean supportsDecode) {
        this.supportsPrefill = supportsPrefill;
        this.supportsDecode = supportsDecode;
    }

    /** Returns whether an engine in this role processes prompts. */
    public boolean supportsPrefill() {
        return supportsPrefill;
    }

    /** Returns whether an engine in this role generates output. */
    public boolean supportsDecode() {
        return supportsDecode;
    }

    /** Parses the lower-case name used in settings and orders. */
    public static EngineRole parse(String name) {
        return SettingNames.parse(values(), name, "role");
    }

    /** Returns the name used in settings and orders. */
    public String settingName() {
        return SettingNames.of(this);
    }
}
