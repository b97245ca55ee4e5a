package org.wagtailcart.standin;

import org.wagtailcart.common.SettingNames;

/** Kinds of faults that can be injected into a stand-in. */
public enum FaultKind {
    /** Delays the request before it runs. */
    DELAY,
    /** Closes the connection before the request runs. */
    RESET_BEFORE,
    /** Runs the request and closes the connection without a response. */
    RESET_AFTER,
    /** Accepts the request and sends no response; the connection stays open. */
    SILENT,
    /** Stops in the middle of a response without closing the connection. */
    STALL,
    /** Runs the request and responds with 503 and "Retry-After: 0", on which some HTTP clients retry by themselves. */
    RETRY_AT_ONCE,
    /** Ends a response early: a stream without its end marker, or a body shorter than its Content-Length. */
    TRUNCATE,
    /** Writes an event of a streamed response twice. */
    DUPLICATE,
    /** Swaps the responses of two requests; a single request receives the response to an unknown one. */
    CROSS,
    /** Crashes in the middle of a response. */
    CRASH,
    /** Crashes while an order is carried out. */
    CRASH_IN_ORDER,
    /** Carries out an order and closes the connection without a response. */
    RESET_AFTER_ORDER,
    /** Delays an order before its fencing token is checked; its connection may be closed by then. */
    DELAY_ORDER,
    /** Closes the connection of a request for the engine's state without a response. */
    RESET_STATE;

    /** Returns the kind with the given setting name, in lower case with hyphens. */
    public static FaultKind parse(String name) {
        return SettingNames.parse(values(), name, "fault kind");
    }
}
