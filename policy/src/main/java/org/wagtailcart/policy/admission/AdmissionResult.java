package org.wagtailcart.policy.admission;

import org.wagtailcart.common.ResultCode;

/** Result of offering a request to an admission queue. */
public enum AdmissionResult {
    /** The request is queued. */
    QUEUED(ResultCode.OK),
    /** The lane of its priority is full. */
    QUEUE_FULL(ResultCode.QUEUE_FULL),
    /** The request would start too late to meet its deadline. */
    DEADLINE_UNREACHABLE(ResultCode.DEADLINE_UNREACHABLE);

    private final ResultCode code;

    AdmissionResult(ResultCode code) {
        this.code = code;
    }

    /** Returns the result code for the caller. */
    public ResultCode code() {
        return code;
    }
}
