package org.wagtailcart.common;

/** Scheduling class of a request; a higher rank goes first. */
public enum Priority {
    /** May wait: curator batches, bulk summaries. */
    BATCH(0),
    /** Ordinary work. */
    NORMAL(1),
    /** May not wait: counter questions, observer checks. */
    INTERACTIVE(2);

    private final int rank;

    Priority(int rank) {
        this.rank = rank;
    }

    /** Returns the rank that engines understand; higher goes first. */
    public int rank() {
        return rank;
    }

    /**
     * Parses the lower-case name used in settings and headers.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when the name is not known
     */
    public static Priority parse(String name) {
        return SettingNames.parse(values(), name, "priority");
    }

    /** Returns the name used in settings and headers. */
    public String settingName() {
        return SettingNames.of(this);
    }
}
