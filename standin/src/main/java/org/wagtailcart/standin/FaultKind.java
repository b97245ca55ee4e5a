package org.wagtailcart.standin;

import org.wagtailcart.common.SettingNames;

/** What a stand-in does wrong on purpose. */
public enum FaultKind {
    /** Waits before the request runs. */
    DELAY,
    /** Closes the connection before the request runs. */
    RESET_BEFORE,
    /** Runs the request and closes the connection instead of answering. */
    RESET_AFTER,
    /** Accepts the request and never answers; the connection stays open. */
    SILENT,
    /** Stops in the middle of an answer without closing the connection. */
    STALL,
    /** Runs the request and answers 503 with "Retry-After: 0", which tempts HTTP clients to repeat it. */
    RETRY_AT_ONCE,
    /** Ends an answer early: a stream without its end marker, a whole body short of its stated length. */
    TRUNCATE,
    /** Writes a part of the answer twice. */
    DUPLICATE,
    /** Swaps the answers of two requests; a single one gets the answer of an unknown request. */
    CROSS,
    /** Crashes in the middle of an answer. */
    CRASH,
    /** Crashes in the middle of an order. */
    CRASH_IN_ORDER,
    /** Carries an order out and closes the connection instead of answering. */
    RESET_AFTER_ORDER,
    /** Waits before an order is looked at; the connection may be gone by then. */
    DELAY_ORDER,
    /** Closes the connection instead of telling the engine's state. */
    RESET_STATE;

    /** Parses the lower-case name. */
    public static FaultKind parse(String name) {
        return SettingNames.parse(values(), name, "fault kind");
    }
}
