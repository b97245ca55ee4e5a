package org.wagtailcart.policy.admission;

import org.wagtailcart.common.ResultCode;

/** Answer of an admission queue to a new request. */
public enum AdmissionResult {
    /** The request waits in the queue. */
    QUEUED(ResultCode.OK),
    /** The queue of its priority is full. */
    QUEUE_FULL(ResultCode.QUEUE_FULL),
    /** It would start too late to meet its deadline. */
    DEADLINE_UNREACHABLE(ResultCode.DEADLINE_UNREACHABLE);

    private final ResultCode code;

    AdmissionResult(ResultCode code) {
        this.code = code;
    }

    /** Returns the code for the caller. */
    public ResultCode code() {
        return code;
    }
}
