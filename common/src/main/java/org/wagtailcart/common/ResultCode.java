package org.wagtailcart.common;

import static org.wagtailcart.common.RunState.MAY_HAVE_RUN;
import static org.wagtailcart.common.RunState.NOT_RUN;
import static org.wagtailcart.common.RunState.RAN;

import java.util.Arrays;
import java.util.Optional;

/**
 * Result codes of requests, calls and commands. Numbers are part of the public interface and never reused;
 * {@code docs/result-codes.md} documents them.
 */
public enum ResultCode {
    OK(0, RAN, true, 200),

    INVALID_ARGUMENT(1001, NOT_RUN, true, 400),
    INVALID_SETTINGS_FILE(1002, NOT_RUN, true, 400),
    UNAUTHORIZED(1003, NOT_RUN, true, 401),
    NOT_FOUND(1004, NOT_RUN, true, 404),
    PAYLOAD_TOO_LARGE(1005, NOT_RUN, true, 413),
    API_KEY_REFUSED(1006, NOT_RUN, true, 401),
    INTERNAL_ERROR(1099, MAY_HAVE_RUN, false, 500),

    FRAME_MALFORMED(2001, MAY_HAVE_RUN, false, 502),
    FRAME_TOO_LARGE(2002, MAY_HAVE_RUN, false, 502),
    PROTOCOL_VERSION_MISMATCH(2003, NOT_RUN, true, 502),
    CONNECTION_LOST(2004, MAY_HAVE_RUN, false, 502),
    CONNECTION_SILENT(2005, MAY_HAVE_RUN, false, 502),
    CONNECT_FAILED(2006, NOT_RUN, true, 503),
    CALL_DEADLINE_EXCEEDED(2007, MAY_HAVE_RUN, false, 504),
    UNKNOWN_MESSAGE(2008, NOT_RUN, true, 502),

    STORAGE_FAILED(3001, MAY_HAVE_RUN, false, 500),
    LOG_DAMAGED(3002, NOT_RUN, false, 500),
    SNAPSHOT_DAMAGED(3003, NOT_RUN, false, 500),
    NOT_LEADER(3004, NOT_RUN, true, 503),
    NO_QUORUM(3005, MAY_HAVE_RUN, true, 503),
    MEMBERSHIP_CHANGE_IN_PROGRESS(3006, NOT_RUN, true, 409),
    MEMBERSHIP_CHANGE_INVALID(3007, NOT_RUN, false, 400),
    LEADERSHIP_LOST(3008, MAY_HAVE_RUN, true, 503),

    REVISION_CONFLICT(4001, NOT_RUN, true, 409),
    SETTING_UNKNOWN(4002, NOT_RUN, true, 400),
    SETTING_INVALID(4003, NOT_RUN, true, 400),
    BRANCH_CYCLE(4004, NOT_RUN, true, 400),
    MODEL_WITHOUT_ENGINE(4005, NOT_RUN, true, 409),
    UPSTREAM_UNKNOWN(4006, NOT_RUN, true, 404),
    SETTINGS_LEASE_EXPIRED(4007, NOT_RUN, true, 503),
    SETTINGS_REVISION_STALE(4008, NOT_RUN, true, 503),
    CHANGE_ID_REUSED(4009, NOT_RUN, false, 409),
    LIFECYCLE_CONFLICT(4010, NOT_RUN, false, 409),
    SIDECAR_NOT_ALLOWED(4011, NOT_RUN, false, 409),
    ORDER_SUPERSEDED(4012, NOT_RUN, false, 409),
    EPOCH_SUPERSEDED(4013, NOT_RUN, false, 409),
    ROUTES_INVALID(4014, NOT_RUN, true, 400),
    ROUTES_UNCONFIRMED(4015, NOT_RUN, true, 503),

    IDEMPOTENCY_KEY_MISSING(5001, NOT_RUN, true, 400),
    IDEMPOTENCY_KEY_REUSED(5002, NOT_RUN, false, 422),
    KEY_IN_PROGRESS(5003, MAY_HAVE_RUN, true, 409),
    OUTCOME_UNKNOWN(5004, MAY_HAVE_RUN, false, 502),
    ATTEMPT_SUPERSEDED(5005, NOT_RUN, true, 409),
    RECORDED_ANSWER_NOT_KEPT(5006, RAN, false, 409),
    KEY_RESERVATION_FAILED(5007, NOT_RUN, true, 503),

    UPSTREAM_REFUSED(6001, NOT_RUN, true, 503),
    UPSTREAM_FAILED(6002, MAY_HAVE_RUN, false, 502),
    STREAM_INCOMPLETE(6003, MAY_HAVE_RUN, false, 502),
    ANSWER_MISMATCH(6004, MAY_HAVE_RUN, false, 502),
    UPSTREAM_TIMEOUT(6005, MAY_HAVE_RUN, false, 504),
    CALLER_GONE(6006, MAY_HAVE_RUN, false, 499),
    UPSTREAM_LEAVING(6007, NOT_RUN, true, 503),
    SHUTTING_DOWN(6008, NOT_RUN, true, 503),
    EPOCH_UNKNOWN(6009, NOT_RUN, true, 503),
    ENGINE_BUSY_WITH_ORDER(6010, NOT_RUN, true, 503),
    ROUTE_TIMEOUT(6011, MAY_HAVE_RUN, false, 504),
    RESPONSE_TOO_LARGE(6012, MAY_HAVE_RUN, false, 502),
    STREAM_VERSION_GONE(6013, NOT_RUN, true, 503),
    STREAM_VERSION_UNKNOWN(6014, NOT_RUN, true, 503),

    QUEUE_FULL(7001, NOT_RUN, true, 429),
    DEADLINE_UNREACHABLE(7002, NOT_RUN, true, 503),
    NO_UPSTREAM(7003, NOT_RUN, true, 503),
    WORKSPACE_LIMIT(7004, NOT_RUN, true, 429),
    RETRY_BUDGET_EXHAUSTED(7005, NOT_RUN, true, 503),
    MODEL_UNKNOWN(7006, NOT_RUN, true, 404),
    SEGMENT_QUARANTINED(7007, NOT_RUN, true, 503);

    private final int number;
    private final RunState runState;
    private final boolean repeatSafe;
    private final int httpStatus;

    ResultCode(int number, RunState runState, boolean repeatSafe, int httpStatus) {
        this.number = number;
        this.runState = runState;
        this.repeatSafe = repeatSafe;
        this.httpStatus = httpStatus;
    }

    /** Returns the number used in messages, logs and documentation. */
    public int number() {
        return number;
    }

    /** Returns whether the requested work ran when a request ends with this code. */
    public RunState runState() {
        return runState;
    }

    /** Returns whether the caller may repeat the same request without risk of a second run. */
    public boolean repeatSafe() {
        return repeatSafe;
    }

    /** Returns the HTTP status of responses to callers and operators that carry this code. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the code with the given number, empty when there is none. */
    public static Optional<ResultCode> ofNumber(int number) {
        return Arrays.stream(values()).filter(code -> code.number == number).findFirst();
    }
}
