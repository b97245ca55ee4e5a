package org.wagtailcart.wire;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;

/**
 * Payload of an ERROR frame.
 *
 * @param codeNumber number of the result code
 * @param runState whether the requested work ran
 * @param text human-readable message
 */
record ErrorMessage(int codeNumber, RunState runState, String text) {
    static final int TYPE_NUMBER = 1;

    static ErrorMessage of(WagtailcartException error) {
        return new ErrorMessage(error.code().number(), error.runState(), String.valueOf(error.getMessage()));
    }

    WagtailcartException toException() {
        ResultCode code = ResultCode.ofNumber(codeNumber).orElse(ResultCode.INTERNAL_ERROR);
        return new WagtailcartException(code, runState, text);
    }
}
