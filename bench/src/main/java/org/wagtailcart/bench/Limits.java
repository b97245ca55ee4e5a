package org.wagtailcart.bench;

/** Service-level limits of a good response and targets of the benchmark, from design section 12. */
final class Limits {
    static final long FIRST_TOKEN_MILLIS = 1_800;
    static final long TOKEN_INTERVAL_MILLIS = 46;
    /** Largest share of token intervals above {@link #TOKEN_INTERVAL_MILLIS} in a good response. */
    static final double LATE_INTERVALS = 0.05;

    /** Least goodput as a share of the informed policy's. */
    static final double OF_INFORMED = 0.95;
    /** Largest share of time above the power limit. */
    static final double OVER_POWER_SHARE = 0.02;
    /** Largest number of attempts per attempted request. */
    static final double RETRY_AMPLIFICATION = 1.1;
    /** Least share of good interactive requests under overload. */
    static final double INTERACTIVE_GOOD = 0.95;

    private Limits() {}
}
