package org.wagtailcart.wire;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Handler that dispatches each request to the handler of its class, so that several roles share one listener. */
public final class PeerDispatcher implements PeerHandler {
    private final Map<Class<?>, PeerHandler> handlers = new ConcurrentHashMap<>();

    /**
     * Registers the handler of a request class.
     *
     * @throws IllegalStateException when the class already has a handler
     */
    public void register(Class<? extends Record> requestClass, PeerHandler handler) {
        if (handlers.putIfAbsent(requestClass, handler) != null) {
            throw new IllegalStateException(requestClass + " already has a handler");
        }
    }

    @Override
    public void handle(Exchange exchange, Object request) {
        PeerHandler handler = handlers.get(request.getClass());
        if (handler == null) {
            throw new WagtailcartException(
                    ResultCode.UNKNOWN_MESSAGE,
                    "this process has no handler for requests of type "
                            + request.getClass().getSimpleName());
        }
        handler.handle(exchange, request);
    }
}
