package org.wagtailcart.entry.call;

/** Stages of a request, in order. */
public enum Stage {
    /** The request was read. */
    ACCEPT,
    /** Kind, workspace, priority and deadline are known. */
    CLASSIFY,
    /** Lease, workspace limit and queue admit it. */
    ADMIT,
    /** An upstream is chosen. */
    ROUTE,
    /** One attempt at a sidecar. */
    ATTEMPT,
    /** The answer is passed on. */
    STREAM,
    /** The response has ended. */
    FINISH
}
