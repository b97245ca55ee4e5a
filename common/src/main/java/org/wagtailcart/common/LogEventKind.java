package org.wagtailcart.common;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Kinds of structured log lines and their fields, in order. {@code docs/OPERATIONS.md} holds the table. A field's suffix is
 * its unit.
 */
public enum LogEventKind {
    /** A gateway chose an upstream for a request or a part of it. */
    REQUEST_SENT(
            true,
            "request",
            "route",
            "step",
            "upstream",
            "attempt",
            "left-millis",
            "estimate-millis",
            "in-flight",
            "queued-tokens",
            "unread-tokens",
            "table-version",
            "table-age-millis",
            "list-age-millis"),
    /** An upstream did not answer a request with success. */
    ATTEMPT_FAILED(false, "request", "step", "upstream", "code", "status", "run-state", "after-millis", "reason"),
    /** A request ended. */
    REQUEST_ENDED(
            true,
            "request",
            "route",
            "code",
            "status",
            "run-state",
            "attempts",
            "first-millis",
            "total-millis",
            "table-version",
            "table-age-millis",
            "list-age-millis",
            "reason"),
    /** A gateway sends no more requests to an upstream for a while. */
    UPSTREAM_LOST(false, "upstream", "address", "for-millis"),
    /** An upstream answered with success after it was lost. */
    UPSTREAM_REGAINED(false, "upstream", "address"),
    /** A gateway has a newer routing table. */
    TABLE_INSTALLED(false, "version", "routes", "member", "age-millis"),
    /** A control member did not answer a gateway. */
    CONTROL_LOST(false, "member", "reason"),
    /** A control member answered after it was lost. */
    CONTROL_REGAINED(false, "member"),
    /** A process cannot read the host list. */
    LIST_LOST(false, "reason"),
    /** A process can read the host list again. */
    LIST_REGAINED(false, "upstreams"),
    /** The host list names other upstreams, or others are leaving. */
    LIST_CHANGED(false, "source", "upstreams", "leaving", "added", "removed"),
    /** A process became ready for callers, or stopped being so. */
    READINESS_CHANGED(false, "ready", "reason"),
    /** An operator's table was acknowledged or refused. */
    TABLE_OFFERED(false, "version", "status", "code", "after-millis", "reason"),
    /** The leader asked an engine which prompt parts it holds. */
    CACHE_SURVEYED(false, "engine", "parts", "reason"),
    /** Settings were read again. */
    SETTINGS_RELOADED(false, "file", "seeds"),
    /** Log lines of a kind were dropped to bound the volume. */
    LINES_DROPPED(false, "kind", "count");

    private final boolean sampled;

    @SuppressWarnings("ImmutableEnumChecker") // List.of makes an immutable list.
    private final List<String> fields;

    LogEventKind(boolean sampled, String... fields) {
        this.sampled = sampled;
        this.fields = List.of(fields);
    }

    /** Returns whether lines of this kind may be dropped above a rate when they report a success. */
    public boolean sampled() {
        return sampled;
    }

    /** Returns the names of the fields, in order. */
    public List<String> fields() {
        return fields;
    }

    /** Returns the name of the event. */
    public String eventName() {
        return SettingNames.of(this);
    }

    /**
     * Logs one event.
     *
     * @param values values of all fields, in order
     * @throws IllegalArgumentException when their number differs
     */
    public void log(Logger logger, Level level, @Nullable Object... values) {
        if (logger.isLoggable(level)) {
            logger.log(level, "{0}", new TypedLogEvent(this, values));
        }
    }
}
