package org.wagtailcart.common;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * HTTP hop-by-hop headers, which apply to one connection and are not forwarded. Content-Length and Expect are included
 * because each connection frames its body and negotiates 100-continue on its own.
 */
public final class HopByHopHeaders {
    private static final String CONNECTION = "connection";
    private static final Set<String> NAMES = Set.of(
            CONNECTION,
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private HopByHopHeaders() {}

    /** Returns whether a header is hop-by-hop regardless of the Connection header. */
    public static boolean contains(String name) {
        return NAMES.contains(name.toLowerCase(Locale.ROOT));
    }

    /**
     * Returns the end-to-end header lines: those that are neither hop-by-hop nor named by a Connection header.
     *
     * @param lines alternating names and values
     */
    public static List<String> removeFrom(List<String> lines) {
        Set<String> connectionNames = namesInConnectionHeader(lines);
        return HeaderLines.filterByName(
                lines, name -> !contains(name) && !connectionNames.contains(name.toLowerCase(Locale.ROOT)));
    }

    /** Returns the lower-case names of further hop-by-hop headers, as listed by the Connection header. */
    private static Set<String> namesInConnectionHeader(List<String> lines) {
        return HeaderLines.all(lines, CONNECTION)
                .flatMap(value -> Stream.of(value.split(",")))
                .map(name -> name.strip().toLowerCase(Locale.ROOT))
                .collect(Collectors.toUnmodifiableSet());
    }
}
