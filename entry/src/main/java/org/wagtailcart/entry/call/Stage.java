package org.wagtailcart.entry.call;

/** Stages of a request, in processing order. */
public enum Stage {
    /** The request has been read. */
    ACCEPT,
    /** Kind, workspace, priority and deadline are known. */
    CLASSIFY,
    /** Settings lease, workspace limit and queue admit the request. */
    ADMIT,
    /** An upstream is chosen. */
    ROUTE,
    /** One attempt at a sidecar. */
    ATTEMPT,
    /** The response is forwarded to the caller. */
    STREAM,
    /** The response has ended. */
    FINISH
}
