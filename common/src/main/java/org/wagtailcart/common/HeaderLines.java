package org.wagtailcart.common;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Utility methods for HTTP header lines held in a list of alternating names and values. */
public final class HeaderLines {
    private HeaderLines() {}

    /** Returns the first value of a header; names are compared without regard to case. */
    public static Optional<String> first(List<String> lines, String name) {
        return all(lines, name).findFirst();
    }

    /** Returns all values of a header in order; names are compared without regard to case. */
    public static Stream<String> all(List<String> lines, String name) {
        return IntStream.range(0, lines.size() / 2)
                .filter(i -> lines.get(2 * i).equalsIgnoreCase(name))
                .mapToObj(i -> lines.get(2 * i + 1));
    }

    /** Returns the lines whose name matches a predicate. */
    public static List<String> filterByName(List<String> lines, Predicate<String> namePredicate) {
        return IntStream.range(0, lines.size() / 2)
                .filter(i -> namePredicate.test(lines.get(2 * i)))
                .boxed()
                .flatMap(i -> Stream.of(lines.get(2 * i), lines.get(2 * i + 1)))
                .toList();
    }
}
