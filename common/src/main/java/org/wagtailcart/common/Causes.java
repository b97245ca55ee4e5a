package org.wagtailcart.common;

import java.util.concurrent.CompletionException;

/** Utility methods for the causes of failed futures. */
public final class Causes {
    private Causes() {}

    /** Returns the cause of a {@link CompletionException}, or the given failure when it is of another type. */
    public static Throwable unwrap(Throwable failure) {
        Throwable cause = failure.getCause();
        return failure instanceof CompletionException && cause != null ? cause : failure;
    }
}
