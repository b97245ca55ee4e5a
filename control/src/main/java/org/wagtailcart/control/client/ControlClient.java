package org.wagtailcart.control.client;

import java.util.concurrent.CompletableFuture;

/** Sends commands to the control group, wherever its leader is. */
public interface ControlClient {
    /**
     * Sends a command until a leader answers or the time is over. A command is resent after a lost answer, which is safe
     * because every command carries an id. The future fails with a {@code WagtailcartException} whose run state says
     * whether the command may have been applied.
     *
     * @param timeoutMillis time after which the call fails
     */
    <T> CompletableFuture<T> submit(Object command, Class<T> resultType, long timeoutMillis);
}
