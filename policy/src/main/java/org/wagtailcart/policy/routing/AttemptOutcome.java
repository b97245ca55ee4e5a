package org.wagtailcart.policy.routing;

/** How an attempt ended, as far as routing is concerned. */
public enum AttemptOutcome {
    /** Whole answer. */
    SUCCESS,
    /** Failure that counts against the upstream. */
    FAILURE,
    /** Refused without running; the upstream is full or leaving. */
    REFUSED,
    /** The caller went away or another reason outside the upstream. */
    CANCELLED
}
