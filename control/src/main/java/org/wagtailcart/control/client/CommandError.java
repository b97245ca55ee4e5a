package org.wagtailcart.control.client;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;

/**
 * Result of a command that has no result of its own type.
 *
 * @param codeNumber number of the result code
 * @param runState whether the command was applied
 * @param text message for people
 */
public record CommandError(int codeNumber, RunState runState, String text) {
    /** Returns the refusal for an error. */
    public static CommandError of(WagtailcartException error) {
        return new CommandError(error.code().number(), error.runState(), String.valueOf(error.getMessage()));
    }

    /** Returns the error of this refusal. */
    public WagtailcartException toException() {
        ResultCode code = ResultCode.ofNumber(codeNumber).orElse(ResultCode.INTERNAL_ERROR);
        return new WagtailcartException(code, runState, text);
    }
}
