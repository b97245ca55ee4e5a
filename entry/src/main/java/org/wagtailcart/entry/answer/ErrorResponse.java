package org.wagtailcart.entry.answer;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;

/**
 * Error response to a caller.
 *
 * @param code result code
 * @param runState whether the work ran
 * @param repeatSafe whether the same request may safely be repeated
 * @param message text for people
 */
public record ErrorResponse(ResultCode code, RunState runState, boolean repeatSafe, String message) {
    /** Returns the error response for an exception. */
    public static ErrorResponse of(WagtailcartException error) {
        boolean codeSaysNotRun = error.code().runState() == RunState.NOT_RUN;
        boolean notRun = error.runState() == RunState.NOT_RUN;
        boolean repeatSafe = codeSaysNotRun == notRun ? error.code().repeatSafe() : notRun;
        return new ErrorResponse(error.code(), error.runState(), repeatSafe, String.valueOf(error.getMessage()));
    }

    /** Returns this error marked as safe to repeat, for work whose second run does no harm. */
    public ErrorResponse withRepeatSafe() {
        return new ErrorResponse(code, runState, true, message);
    }

    /** Returns this error with another run state. */
    public ErrorResponse withRunState(RunState newRunState) {
        return new ErrorResponse(code, newRunState, repeatSafe, message);
    }
}
