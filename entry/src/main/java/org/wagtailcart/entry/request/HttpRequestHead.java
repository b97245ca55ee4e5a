package org.wagtailcart.entry.request;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.wagtailcart.common.HeaderLines;
import org.wagtailcart.common.HopByHopHeaders;

/**
 * Method, path, query and header lines of an HTTP request.
 *
 * @param method HTTP method
 * @param path path without query
 * @param query query without question mark, empty for none
 * @param headers header lines, name and value alternating
 */
public record HttpRequestHead(String method, String path, String query, List<String> headers) {
    /**
     * Limit on the request line and header lines that a listener accepts. Without one, each open connection may hold
     * 1 MiB of a process with a heap of 160 MB.
     */
    public static final int MAX_BYTES = 64 << 10;

    /** Returns the first value of a header. */
    public Optional<String> header(String name) {
        return HeaderLines.first(headers, name);
    }

    /** Returns the header lines to forward: all but those that concern a single connection or this system. */
    public static List<String> endToEndHeaders(List<String> lines) {
        return HeaderLines.filterByName(lines, name -> isEndToEnd(name.toLowerCase(Locale.ROOT)));
    }

    private static boolean isEndToEnd(String name) {
        return !HopByHopHeaders.contains(name)
                && !name.equals("host")
                && !name.startsWith("wagtailcart-")
                && !name.equals("x-request-id");
    }
}
