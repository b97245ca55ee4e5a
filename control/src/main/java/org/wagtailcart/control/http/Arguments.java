package org.wagtailcart.control.http;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Checks of arguments and results that several endpoints share. */
final class Arguments {
    private static final String NAME = "[\\x21-\\x7e]{1,100}";

    private Arguments() {}

    static String changeId(String value) {
        return name("change_id", value);
    }

    static String operator(String value) {
        return name("operator", value);
    }

    static void checkResult(int codeNumber, String text) {
        if (codeNumber != 0) {
            ResultCode code = ResultCode.ofNumber(codeNumber).orElse(ResultCode.INTERNAL_ERROR);
            throw new WagtailcartException(code, text);
        }
    }

    private static String name(String field, String value) {
        if (!value.matches(NAME)) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT,
                    "field \"" + field + "\" has the value \"" + value
                            + "\"; accepted are 1 to 100 visible ASCII characters");
        }
        return value;
    }
}
