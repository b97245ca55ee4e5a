package org.wagtailcart.entry.request;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.wagtailcart.common.LogEvent;

/** Reader of complete request bodies, which closes the connection of a caller that does not send its body in time. */
public final class RequestBodyReader {
    private static final Logger LOG = System.getLogger(RequestBodyReader.class.getName());

    private RequestBodyReader() {}

    /**
     * Reads the body of a request. Must be called on the connection's I/O thread, on which both callbacks run.
     *
     * @param timeoutMillis time within which the body must arrive
     */
    public static void receive(
            HttpServerExchange exchange,
            ScheduledExecutorService timer,
            long timeoutMillis,
            Receiver.FullBytesCallback onComplete,
            Receiver.ErrorCallback onError) {
        Future<?> timeout = timer.schedule(
                () -> exchange.getIoThread().execute(() -> closeConnection(exchange)),
                timeoutMillis,
                TimeUnit.MILLISECONDS);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> {
                            timeout.cancel(false);
                            onComplete.handle(received, body);
                        },
                        (failed, error) -> {
                            timeout.cancel(false);
                            onError.error(failed, error);
                        });
    }

    private static void closeConnection(HttpServerExchange exchange) {
        try {
            exchange.getConnection().close();
        } catch (IOException e) {
            LOG.log(Level.DEBUG, LogEvent.of("close-failed", "reason", e.getMessage()));
        }
    }
}
