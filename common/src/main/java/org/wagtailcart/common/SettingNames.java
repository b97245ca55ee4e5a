package org.wagtailcart.common;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/** Converts enum constants to and from the names used for them in settings, headers and commands. */
public final class SettingNames {
    private SettingNames() {}

    /**
     * Returns the constant with the given setting name.
     *
     * @param fieldName name of the parsed field, used in the error message
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when no constant has that name
     */
    public static <E extends Enum<E>> E parse(E[] values, String name, String fieldName) {
        return Arrays.stream(values)
                .filter(value -> of(value).equals(name))
                .findFirst()
                .orElseThrow(() -> new WagtailcartException(
                        ResultCode.INVALID_ARGUMENT,
                        fieldName + " \"" + name + "\" is not one of " + joinNames(values)));
    }

    /** Returns the lower-case, hyphenated name of a constant. */
    public static String of(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String joinNames(Enum<?>[] values) {
        return Arrays.stream(values).map(SettingNames::of).collect(Collectors.joining(", "));
    }
}
