package org.wagtailcart.common;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Kinds of structured log events and their fields, in order. {@code docs/OPERATIONS.md} documents them. The suffix of a
 * field name is its unit.
 */
public enum LogEventKind {
    /** A gateway sent a request, or one step of it, to an upstream. */
    REQUEST_SENT(
            true,
            "request",
            "route",
            "workspace",
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
    /** An attempt of a request failed at an upstream. */
    ATTEMPT_FAILED(
            false,
            "request",
            "step",
            "upstream",
            "code",
            "status",
            "run-state",
            "after-millis",
            "output-for-millis",
            "segments",
            "connection",
            "earlier-requests",
            "reason"),
    /** A request ended. */
    REQUEST_ENDED(
            true,
            "request",
            "route",
            "workspace",
            "code",
            "status",
            "run-state",
            "attempts",
            "first-millis",
            "total-millis",
            "table-version",
            "table-age-millis",
            "list-age-millis",
            "connection",
            "earlier-requests",
            "reason"),
    /** The response of an upstream to a streamed request ended, completely or not. */
    STREAM_RUN(
            true,
            "request",
            "upstream",
            "software-version",
            "resumes",
            "after-event",
            "first-event",
            "last-event",
            "repeated-events",
            "unnumbered-events",
            "framing",
            "complete"),
    /** A caller resumes a stream, which goes on at the software version that began it or is refused. */
    STREAM_RESUMED(false, "request", "resumes", "after-event", "service", "software-version", "outcome"),
    /** An upstream sent bytes that are no response to the request that waits for one. */
    UNEXPECTED_RESPONSE(false, "request", "address", "kind", "connection", "earlier-requests", "reason"),
    /** A gateway took an upstream out of service for a period. */
    UPSTREAM_LOST(false, "upstream", "address", "for-millis"),
    /** An upstream that was out of service responded with success. */
    UPSTREAM_REGAINED(false, "upstream", "address"),
    /** An upstream said that it is leaving, or that it refuses requests for a time. */
    UPSTREAM_ANNOUNCED(false, "request", "upstream", "leaving", "retry-after", "for-millis"),
    /** An engine ended while it answered requests, according to a gateway. */
    UPSTREAM_CRASHED(false, "upstream", "address", "requests", "segments"),
    /** The prefill rates by which a gateway places prompts changed. */
    ENGINE_RATES_CHANGED(false, "service", "tokens-per-milli", "faster", "slower", "max-speed", "min-speed"),
    /** A process refuses requests with a prompt segment that makes engines crash. */
    SEGMENT_QUARANTINED(false, "segment", "offences", "for-millis", "source"),
    /** The set of services whose requests wait too long or are refused, so that workspaces are limited, changed. */
    CONTENTION_CHANGED(false, "services", "limited-workspaces"),
    /** A gateway installed a newer routing table. */
    TABLE_INSTALLED(false, "version", "routes", "workspaces", "member", "age-millis"),
    /** A control member is unreachable from a gateway. */
    CONTROL_LOST(false, "member", "reason"),
    /** A control member that was unreachable replied again. */
    CONTROL_REGAINED(false, "member"),
    /** Reading the host list failed. */
    LIST_LOST(false, "reason"),
    /** Reading the host list succeeded after a failure. */
    LIST_REGAINED(false, "upstreams"),
    /** The host list changed: upstreams were added or removed, or the set of leaving upstreams differs. */
    LIST_CHANGED(false, "source", "upstreams", "leaving", "added", "removed"),
    /** The readiness of a process for callers changed. */
    READINESS_CHANGED(false, "ready", "reason"),
    /** A routing table submitted by an operator was acknowledged or rejected. */
    TABLE_OFFERED(false, "version", "status", "code", "after-millis", "reason"),
    /** The leader queried an engine for the prompt segments in its KV cache. */
    CACHE_SURVEYED(false, "engine", "parts", "reason"),
    /** The leader closed a usage window: its counts no longer change. */
    USAGE_CLOSED(false, "window", "workspaces", "requests", "gateways", "clocks", "after-end-millis"),
    /** The leader sent the report of a usage window to the platform. */
    USAGE_REPORTED(
            false, "window", "holder", "token", "workspaces", "requests", "outcome", "after-end-millis", "call-millis"),
    /** The leader ordered a number of replicas in a failure domain from the platform. */
    REPLICAS_ORDERED(false, "service", "domain", "replicas", "reason", "holder", "token", "result", "call-millis"),
    /** A process reloaded its settings file. */
    SETTINGS_RELOADED(false, "file", "seeds"),
    /** Log lines of a kind were dropped to limit the log volume. */
    LINES_DROPPED(false, "kind", "count");

    private final boolean sampled;

    @SuppressWarnings("ImmutableEnumChecker") // List.of makes an immutable list.
    private final List<String> fields;

    LogEventKind(boolean sampled, String... fields) {
        this.sampled = sampled;
        this.fields = List.of(fields);
    }

    /** Returns whether events of this kind are rate-limited when they report a success. */
    public boolean sampled() {
        return sampled;
    }

    /** Returns the names of the fields, in order. */
    public List<String> fields() {
        return fields;
    }

    /** Returns the event name that appears in the log line. */
    public String eventName() {
        return SettingNames.of(this);
    }

    /**
     * Logs an event of this kind.
     *
     * @param values values of all fields, in order
     * @throws IllegalArgumentException when the number of values differs from the number of fields
     */
    public void log(Logger logger, Level level, @Nullable Object... values) {
        if (logger.isLoggable(level)) {
            logger.log(level, "{0}", new TypedLogEvent(this, values));
        }
    }
}
