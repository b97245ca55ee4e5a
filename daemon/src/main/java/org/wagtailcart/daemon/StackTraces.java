package org.wagtailcart.daemon;

import java.util.Arrays;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Formatter of exceptions with their causes and stack frames. */
final class StackTraces {
    private StackTraces() {}

    static String text(Throwable thrown) {
        return Stream.iterate(thrown, Objects::nonNull, Throwable::getCause)
                .map(cause -> cause + frames(cause))
                .collect(Collectors.joining("\ncaused by "));
    }

    private static String frames(Throwable thrown) {
        return Arrays.stream(thrown.getStackTrace())
                .map(frame -> "\n  at " + frame)
                .collect(Collectors.joining());
    }
}
