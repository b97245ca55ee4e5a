package org.wagtailcart.bench;

/** Limits of a good answer and targets of the benchmark, from design section 12. */
final class Limits {
    static final long FIRST_TOKEN_MILLIS = 1_800;
    static final long TOKEN_INTERVAL_MILLIS = 46;
    /** Share of token intervals that may be longer. */
    static final double LATE_INTERVALS = 0.05;

    static final double OF_INFORMED = 0.95;
    static final double OVER_POWER_SHARE = 0.02;
    static final double RETRY_AMPLIFICATION = 1.1;
    static final double INTERACTIVE_GOOD = 0.95;

    private Limits() {}
}
