package org.wagtailcart.common;

import java.util.Arrays;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/** Formats one log event as {@code event key=value ...} on one line. */
public final class LogEvent {
    private LogEvent() {}

    /**
     * Formats an event.
     *
     * @param event short name of the event, in lower case with hyphens
     * @param keysAndValues alternating keys and values
     * @throws IllegalArgumentException when a key has no value
     */
    public static String of(String event, @Nullable Object... keysAndValues) {
        if (keysAndValues.length % 2 != 0) {
            throw new IllegalArgumentException("key without value in " + Arrays.toString(keysAndValues));
        }
        return IntStream.range(0, keysAndValues.length / 2)
                .mapToObj(i -> keysAndValues[2 * i] + "=" + quote(String.valueOf(keysAndValues[2 * i + 1])))
                .collect(Collectors.joining(" ", keysAndValues.length == 0 ? event : event + " ", ""));
    }

    private static String quote(String value) {
        boolean plain = !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
        return plain
                ? value
                : '"' + value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
    }
}
