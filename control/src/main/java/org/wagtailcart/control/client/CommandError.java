package org.wagtailcart.control.client;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;

/**
 * Result of a command that failed without a result of its own type.
 *
 * @param codeNumber number of the result code
 * @param runState whether the command may have been applied
 * @param text human-readable error message
 */
public record CommandError(int codeNumber, RunState runState, String text) {
    /** Returns the message form of an exception. */
    public static CommandError of(WagtailcartException error) {
        return new CommandError(error.code().number(), error.runState(), String.valueOf(error.getMessage()));
    }

    /** Returns the exception form of this error. An unknown code number becomes {@link ResultCode#INTERNAL_ERROR}. */
    public WagtailcartException toException() {
        ResultCode code = ResultCode.ofNumber(codeNumber).orElse(ResultCode.INTERNAL_ERROR);
        return new WagtailcartException(code, runState, text);
    }
}
