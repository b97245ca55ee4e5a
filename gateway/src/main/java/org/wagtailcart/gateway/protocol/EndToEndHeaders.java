package org.wagtailcart.gateway.protocol;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Header lines that concern one connection only, and are not passed on. */
public final class EndToEndHeaders {
    private static final Set<String> ONE_CONNECTION = Set.of(
            "connection",
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

    private EndToEndHeaders() {}

    /** Returns the lines that concern both ends. */
    public static List<String> endToEnd(List<String> lines) {
        return IntStream.range(0, lines.size() / 2)
                .filter(i -> !ONE_CONNECTION.contains(lines.get(2 * i).toLowerCase(Locale.ROOT)))
                .boxed()
                .flatMap(i -> Stream.of(lines.get(2 * i), lines.get(2 * i + 1)))
                .toList();
    }
}
