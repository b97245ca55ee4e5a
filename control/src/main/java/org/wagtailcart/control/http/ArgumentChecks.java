package org.wagtailcart.control.http;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Validation of arguments and command results, shared by several endpoints. */
final class ArgumentChecks {
    private static final String NAME_PATTERN = "[\\x21-\\x7e]{1,100}";

    private ArgumentChecks() {}

    static String checkChangeId(String value) {
        return checkName("change_id", value);
    }

    static String checkOperator(String value) {
        return checkName("operator", value);
    }

    static void checkResult(int codeNumber, String text) {
        if (codeNumber != 0) {
            ResultCode code = ResultCode.ofNumber(codeNumber).orElse(ResultCode.INTERNAL_ERROR);
            throw new WagtailcartException(code, text);
        }
    }

    private static String checkName(String field, String value) {
        if (!value.matches(NAME_PATTERN)) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT,
                    "field \"" + field + "\" has the value \"" + value
                            + "\"; expected 1 to 100 visible ASCII characters");
        }
        return value;
    }
}
