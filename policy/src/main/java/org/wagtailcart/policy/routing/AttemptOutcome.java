package org.wagtailcart.policy.routing;

/** Outcome of an attempt, as it affects routing. */
public enum AttemptOutcome {
    /** Complete response. */
    SUCCESS,
    /** Failure that counts against the upstream. */
    FAILURE,
    /** Rejected without running, by an upstream that is full or draining. */
    REFUSED,
    /** Ended for a reason outside the upstream, such as a disconnected caller. */
    CANCELLED
}
