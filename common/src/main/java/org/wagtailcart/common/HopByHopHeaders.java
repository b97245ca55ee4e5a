package org.wagtailcart.common;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** HTTP headers that concern one connection only and are not passed on. */
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

    /** Returns whether a header always concerns one connection only. */
    public static boolean contains(String name) {
        return NAMES.contains(name.toLowerCase(Locale.ROOT));
    }

    /**
     * Returns the lines that concern both ends.
     *
     * @param lines name and value alternating
     */
    public static List<String> removeFrom(List<String> lines) {
        Set<String> connectionNames = namesInConnectionHeader(lines);
        return HeaderLines.filterByName(
                lines, name -> !contains(name) && !connectionNames.contains(name.toLowerCase(Locale.ROOT)));
    }

    /** The Connection header names further ones. */
    private static Set<String> namesInConnectionHeader(List<String> lines) {
        return HeaderLines.all(lines, CONNECTION)
                .flatMap(value -> Stream.of(value.split(",")))
                .map(name -> name.strip().toLowerCase(Locale.ROOT))
                .collect(Collectors.toUnmodifiableSet());
    }
}
