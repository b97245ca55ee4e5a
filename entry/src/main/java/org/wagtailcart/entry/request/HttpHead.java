package org.wagtailcart.entry.request;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.wagtailcart.common.HopByHopHeaders;

/**
 * Method, target and header lines of a request.
 *
 * @param method HTTP method
 * @param path path without query
 * @param query query without question mark, empty for none
 * @param headers header lines, name and value alternating
 */
public record HttpHead(String method, String path, String query, List<String> headers) {
    /** Returns the first value of a header. */
    public Optional<String> header(String name) {
        return header(headers, name);
    }

    /** Returns the first value of a header in alternating lines. */
    public static Optional<String> header(List<String> lines, String name) {
        return IntStream.range(0, lines.size() / 2)
                .filter(i -> lines.get(2 * i).equalsIgnoreCase(name))
                .mapToObj(i -> lines.get(2 * i + 1))
                .findFirst();
    }

    /** Returns the header lines that concern both ends rather than one connection or this system. */
    public static List<String> endToEnd(List<String> lines) {
        return IntStream.range(0, lines.size() / 2)
                .filter(i -> isEndToEnd(lines.get(2 * i).toLowerCase(Locale.ROOT)))
                .boxed()
                .flatMap(i -> Stream.of(lines.get(2 * i), lines.get(2 * i + 1)))
                .toList();
    }

    private static boolean isEndToEnd(String name) {
        return !HopByHopHeaders.contains(name)
                && !name.equals("host")
                && !name.startsWith("wagtailcart-")
                && !name.equals("x-request-id");
    }
}
