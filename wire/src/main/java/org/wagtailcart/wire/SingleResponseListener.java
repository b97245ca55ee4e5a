package org.wagtailcart.wire;

import java.util.concurrent.CompletableFuture;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;

/** Listener that completes a future with the single reply of an exchange. */
final class SingleResponseListener<T> implements StreamListener {
    private final CompletableFuture<T> future;
    private final Class<T> responseType;

    SingleResponseListener(CompletableFuture<T> future, Class<T> responseType) {
        this.future = future;
        this.responseType = responseType;
    }

    @Override
    public void onEvent(Object event) {
        onFailure(unexpected(event));
    }

    @Override
    public void onEnd(Object response) {
        if (responseType.isInstance(response)) {
            future.complete(responseType.cast(response));
        } else {
            onFailure(unexpected(response));
        }
    }

    @Override
    public void onFailure(WagtailcartException error) {
        future.completeExceptionally(error);
    }

    private static WagtailcartException unexpected(Object message) {
        return new WagtailcartException(
                ResultCode.UNKNOWN_MESSAGE,
                RunState.MAY_HAVE_RUN,
                "unexpected reply " + message.getClass().getSimpleName());
    }
}
