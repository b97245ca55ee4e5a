package org.wagtailcart.control.client;

import java.util.concurrent.CompletableFuture;

/** Client that submits commands to the leader of the control group. */
public interface ControlClient {
    /**
     * Sends a command and retries until a leader replies or the timeout expires. Resending after a lost reply is safe
     * because every command carries an id. The future fails with a {@code WagtailcartException} whose run state says
     * whether the command may have been applied.
     *
     * @param timeoutMillis time after which the call fails
     */
    <T> CompletableFuture<T> submit(Object command, Class<T> resultType, long timeoutMillis);
}
