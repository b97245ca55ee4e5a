package org.wagtailcart.bench;

/** Service-level limits of a good response and targets of the benchmark, from design section 12. */
final class Limits {
    static final long MAX_FIRST_TOKEN_MILLIS = 1_800;
    static final long MAX_TOKEN_INTERVAL_MILLIS = 46;
    /** Largest share of token intervals above {@link #MAX_TOKEN_INTERVAL_MILLIS} in a good response. */
    static final double MAX_LATE_INTERVAL_SHARE = 0.05;

    /** Least goodput as a share of the informed policy's. */
    static final double MIN_GOODPUT_OF_INFORMED = 0.95;
    /** Largest share of time above the power limit. */
    static final double MAX_POWER_OVERLOAD_SHARE = 0.02;
    /** Largest number of attempts per attempted request. */
    static final double MAX_RETRY_AMPLIFICATION = 1.1;
    /** Least share of good interactive requests under overload. */
    static final double MIN_INTERACTIVE_GOOD_SHARE = 0.95;

    private Limits() {}
}
