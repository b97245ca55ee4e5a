package org.wagtailcart.control.orders;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.LogEvent;

/** Wait of limited length for the result of a command or of a confirmation. */
public final class BoundedWait {
    private BoundedWait() {}

    /**
     * Returns a result, empty if it is null, fails, or does not arrive in time. Interruption ends the wait and is kept.
     *
     * @param failureEvent name of the event that is logged for a failure or a timeout
     */
    public static <T> Optional<T> await(
            CompletableFuture<T> future, long timeoutMillis, Logger log, String failureEvent) {
        try {
            @Nullable T value = future.get(timeoutMillis, TimeUnit.MILLISECONDS);
            return Optional.ofNullable(value);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } catch (ExecutionException | TimeoutException e) {
            log.log(Level.INFO, LogEvent.of(failureEvent, "reason", e));
            return Optional.empty();
        }
    }
}
