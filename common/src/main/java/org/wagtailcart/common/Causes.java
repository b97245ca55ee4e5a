package org.wagtailcart.common;

import java.util.concurrent.CompletionException;

/** What made a future fail. */
public final class Causes {
    private Causes() {}

    /** Returns the failure that a {@link CompletionException} wraps, or the failure itself. */
    public static Throwable unwrap(Throwable failure) {
        Throwable cause = failure.getCause();
        return failure instanceof CompletionException && cause != null ? cause : failure;
    }
}
