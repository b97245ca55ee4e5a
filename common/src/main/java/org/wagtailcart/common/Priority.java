package org.wagtailcart.common;

/** Scheduling class of a request; requests of a higher rank are scheduled first. */
public enum Priority {
    /** Tolerates delay: curator batches, bulk summaries. */
    BATCH(0),
    /** Default class. */
    NORMAL(1),
    /** Latency-sensitive: questions at the counter, observer checks. */
    INTERACTIVE(2);

    private final int rank;

    Priority(int rank) {
        this.rank = rank;
    }

    /** Returns the numeric priority sent to engines; a higher value is scheduled first. */
    public int rank() {
        return rank;
    }

    /**
     * Parses the lower-case name used in settings and headers.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when no priority has that name
     */
    public static Priority parse(String name) {
        return SettingNames.parse(values(), name, "priority");
    }

    /** Returns the name used in settings and headers. */
    public String settingName() {
        return SettingNames.of(this);
    }
}
