package org.wagtailcart.control.http;

import java.util.Map;
import java.util.Optional;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Operator request with parsed parameters.
 *
 * @param parameters path and query parameters
 * @param body request body, empty when there is none
 */
record OperatorRequest(Map<String, String> parameters, byte[] body) {
    Optional<String> parameter(String name) {
        return Optional.ofNullable(parameters.get(name));
    }

    String requiredParameter(String name) {
        return parameter(name)
                .filter(value -> !value.isEmpty())
                .orElseThrow(() ->
                        new WagtailcartException(ResultCode.INVALID_ARGUMENT, "parameter \"" + name + "\" is missing"));
    }

    boolean flag(String name) {
        return parameter(name).map(value -> parseFlag(name, value)).orElse(false);
    }

    long number(String name, long min, long max) {
        return parseNumber(name, requiredParameter(name), min, max);
    }

    long number(String name, long min, long max, long defaultValue) {
        return parameter(name).map(value -> parseNumber(name, value, min, max)).orElse(defaultValue);
    }

    private static boolean parseFlag(String name, String value) {
        if (!value.equals("true") && !value.equals("false")) {
            throw invalid(name, value, "true or false");
        }
        return value.equals("true");
    }

    private static long parseNumber(String name, String value, long min, long max) {
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw invalid(name, value, "an integer from " + min + " to " + max);
        }
        throw invalid(name, value, "an integer from " + min + " to " + max);
    }

    private static WagtailcartException invalid(String name, String value, String expected) {
        return new WagtailcartException(
                ResultCode.INVALID_ARGUMENT,
                "parameter \"" + name + "\" has the value \"" + value + "\"; expected " + expected);
    }
}
