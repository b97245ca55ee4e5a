package org.wagtailcart.common;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/** Formatter and parser of log events in the one-line form {@code event key=value ...}. */
public final class LogEvent {
    private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9-]*");
    /** Possessive, because a backtracking group recurses once per character and overflows the stack on long values. */
    private static final Pattern FIELD =
            Pattern.compile(" ([a-z][a-z0-9-]*)=(?:\"([^\"\\\\]*+(?:\\\\.[^\"\\\\]*+)*+)\"|([^ \"=]+))");

    private static final Pattern ESCAPE = Pattern.compile("\\\\(.)");

    private LogEvent() {}

    /**
     * A parsed log line.
     *
     * @param name name of the event
     * @param fields values by key, in order
     */
    public record Line(String name, Map<String, String> fields) {}

    /** Parses a line formatted by {@link #of}; returns empty for any other text. */
    public static Optional<Line> parse(String text) {
        int end = text.indexOf(' ');
        String name = end < 0 ? text : text.substring(0, end);
        if (!NAME.matcher(name).matches()) {
            return Optional.empty();
        }
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher field = FIELD.matcher(text);
        int read = name.length();
        while (read < text.length() && field.find(read) && field.start() == read) {
            fields.put(field.group(1), field.group(3) == null ? unquote(field.group(2)) : field.group(3));
            read = field.end();
        }
        return read == text.length() ? Optional.of(new Line(name, fields)) : Optional.empty();
    }

    private static String unquote(String quoted) {
        return ESCAPE.matcher(quoted)
                .replaceAll(match -> Matcher.quoteReplacement(match.group(1).equals("n") ? "\n" : match.group(1)));
    }

    /**
     * Formats an event as one line; values with spaces, quotes or equals signs are quoted.
     *
     * @param event name of the event, in lower case with hyphens
     * @param keysAndValues alternating keys and values
     * @throws IllegalArgumentException when a key has no value
     */
    public static String of(String event, @Nullable Object... keysAndValues) {
        if (keysAndValues.length % 2 != 0) {
            throw new IllegalArgumentException("log event key has no value in " + Arrays.toString(keysAndValues));
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
