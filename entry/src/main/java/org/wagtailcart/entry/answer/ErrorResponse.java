package org.wagtailcart.entry.answer;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;

/**
 * Answer to a request that gets no result.
 *
 * @param code result code
 * @param runState whether the work ran
 * @param repeatSafe whether the same request may be repeated
 * @param message text for people
 */
public record ErrorResponse(ResultCode code, RunState runState, boolean repeatSafe, String message) {
    /** Returns the refusal that an error stands for. */
    public static ErrorResponse of(WagtailcartException error) {
        boolean codeSaysNotRun = error.code().runState() == RunState.NOT_RUN;
        boolean notRun = error.runState() == RunState.NOT_RUN;
        boolean repeatSafe = codeSaysNotRun == notRun ? error.code().repeatSafe() : notRun;
        return new ErrorResponse(error.code(), error.runState(), repeatSafe, String.valueOf(error.getMessage()));
    }

    /** Returns this refusal for work whose second run does no harm. */
    public ErrorResponse withRepeatSafe() {
        return new ErrorResponse(code, runState, true, message);
    }

    /** Returns this refusal with another run state. */
    public ErrorResponse withRunState(RunState newRunState) {
        return new ErrorResponse(code, newRunState, repeatSafe, message);
    }
}
