package org.wagtailcart.common;

/** Role of an engine: the phases of inference that it runs. */
public enum EngineRole {
    /** Runs prefill and transfers the KV cache to a decode engine. */
    PREFILL(true, false),
    /** Runs decode from an imported KV cache. */
    DECODE(false, true),
    /** Runs both phases. */
    MIXED(true, true);

    private final boolean supportsPrefill;
    private final boolean supportsDecode;

    EngineRole(boolean supportsPrefill, boolean supportsDecode) {
        this.supportsPrefill = supportsPrefill;
        this.supportsDecode = supportsDecode;
    }

    /** Returns whether an engine in this role runs prefill. */
    public boolean supportsPrefill() {
        return supportsPrefill;
    }

    /** Returns whether an engine in this role runs decode. */
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
